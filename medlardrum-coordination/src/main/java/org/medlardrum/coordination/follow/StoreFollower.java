package org.medlardrum.coordination.follow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;

import org.medlardrum.coordination.ChangeFeed;
import org.medlardrum.coordination.StoreChange;
import org.medlardrum.coordination.StoreChanges;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.internal.DutyThread;

/**
 * Keeps a copy of the store's keys by one waiting call at a time, and tells for how long
 * the copy was current. A wait that ends without a change confirms the copy up to the end
 * of the wait, measured from before the call, so a delayed answer never confirms too
 * much.
 *
 * <p>
 * Entries whose leases ran out while the store was away come back when their owners reach
 * it again; their removals are held back for that time.
 */
public final class StoreFollower implements AutoCloseable {

	private static final long FIRST_RETRY_MS = 100;

	private static final long MAX_RETRY_MS = 400;

	private final ChangeFeed feed;

	private final StoreListener listener;

	private final LongSupplier steadyMs;

	private final LongSupplier wallMs;

	private final FollowerOptions options;

	private final DutyThread thread = new DutyThread("store-follower", this::step);

	private final Map<String, String> values = new HashMap<>();

	/** Removed keys whose removal is held back. */
	private final Set<String> heldBack = new HashSet<>();

	private long revision = -1;

	private boolean away;

	private long answeredAtMs;

	private long holdUntilMs = Long.MIN_VALUE;

	private long retryMs = FIRST_RETRY_MS;

	/**
	 * Creates a follower.
	 * @param feed the store
	 * @param listener receives changes and confirmations
	 * @param steadyMs steady clock
	 * @param wallMs time of day
	 * @param options settings
	 */
	public StoreFollower(ChangeFeed feed, StoreListener listener, LongSupplier steadyMs, LongSupplier wallMs,
			FollowerOptions options) {
		this.feed = Objects.requireNonNull(feed, "feed");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.steadyMs = Objects.requireNonNull(steadyMs, "steadyMs");
		this.wallMs = Objects.requireNonNull(wallMs, "wallMs");
		this.options = Objects.requireNonNull(options, "options");
		this.answeredAtMs = steadyMs.getAsLong();
	}

	/**
	 * Starts the thread that follows the store.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * Makes one call to the store. Called by the thread of this responsibility, or by a
	 * test instead of it.
	 * @return time until the next call, in milliseconds
	 */
	public long step() {
		long sentMs = this.steadyMs.getAsLong();
		long sentWallMs = this.wallMs.getAsLong();
		boolean first = this.revision < 0;
		long waitMs = waitMs(sentMs);
		StoreResult<StoreChanges> result = (first) ? this.feed.read("") : this.feed.changes("", this.revision, waitMs);
		return switch (result) {
			case StoreResult.Ok<StoreChanges> ok -> take(ok.value(), first, sentMs, sentWallMs, waitMs);
			case StoreResult.NotFound<StoreChanges> compacted -> {
				this.revision = -1;
				yield 0;
			}
			case StoreResult.Conflict<StoreChanges> conflict -> failed("unexpected conflict");
			case StoreResult.Unavailable<StoreChanges> unavailable -> failed(unavailable.reason());
			case StoreResult.Unknown<StoreChanges> unknown -> failed(unknown.reason());
		};
	}

	private long waitMs(long nowMs) {
		long untilReleaseMs = this.holdUntilMs - nowMs;
		boolean holding = !this.heldBack.isEmpty() && untilReleaseMs > 0;
		return (holding) ? Math.min(this.options.waitMs(), untilReleaseMs) : this.options.waitMs();
	}

	private long take(StoreChanges changes, boolean first, long sentMs, long sentWallMs, long waitMs) {
		long nowMs = this.steadyMs.getAsLong();
		if (this.away) {
			this.away = false;
			this.holdUntilMs = nowMs + this.options.returnMs();
			this.listener.regained(nowMs - this.answeredAtMs);
		}
		this.answeredAtMs = nowMs;
		this.retryMs = FIRST_RETRY_MS;
		boolean changed = (first) ? replace(changes, nowMs) : apply(changes, nowMs);
		changed |= releaseHeldBack(nowMs);
		this.revision = changes.revision();
		if (changed) {
			this.listener.changed(Map.copyOf(this.values));
		}
		boolean waited = !first && changes.changes().isEmpty() && nowMs - sentMs >= waitMs;
		long confirmedAfterMs = (waited) ? waitMs : 0;
		this.listener.confirmed(sentMs + confirmedAfterMs, sentWallMs + confirmedAfterMs);
		return (changes.changes().isEmpty() || first) ? 0 : this.options.pauseMs();
	}

	private boolean replace(StoreChanges changes, long nowMs) {
		Set<String> present = new HashSet<>();
		changes.changes().forEach((change) -> present.add(change.key()));
		Set<String> missing = new HashSet<>(this.values.keySet());
		missing.removeAll(present);
		missing.forEach((key) -> remove(key, nowMs));
		changes.changes().forEach(this::put);
		return true;
	}

	private boolean apply(StoreChanges changes, long nowMs) {
		for (StoreChange change : changes.changes()) {
			if (change.value() != null) {
				put(change);
			}
			else {
				remove(change.key(), nowMs);
			}
		}
		return !changes.changes().isEmpty();
	}

	private void put(StoreChange change) {
		this.values.put(change.key(), change.value());
		this.heldBack.remove(change.key());
	}

	private void remove(String key, long nowMs) {
		if (nowMs < this.holdUntilMs && this.values.containsKey(key)) {
			this.heldBack.add(key);
		}
		else {
			this.values.remove(key);
		}
	}

	private boolean releaseHeldBack(long nowMs) {
		if (this.heldBack.isEmpty() || nowMs < this.holdUntilMs) {
			return false;
		}
		this.heldBack.forEach(this.values::remove);
		this.heldBack.clear();
		return true;
	}

	private long failed(String reason) {
		if (!this.away) {
			this.away = true;
			this.listener.lost(reason);
		}
		long waitMs = this.retryMs;
		this.retryMs = Math.min(MAX_RETRY_MS, this.retryMs * 2);
		return waitMs;
	}

}
