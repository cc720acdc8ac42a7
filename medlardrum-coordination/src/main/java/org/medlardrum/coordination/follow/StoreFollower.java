package org.medlardrum.coordination.follow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.medlardrum.coordination.ChangeFeed;
import org.medlardrum.coordination.StoreChange;
import org.medlardrum.coordination.StoreChanges;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.internal.BackgroundThread;

/**
 * Keeps a copy of the store's keys and tells for how long the copy was current. One
 * thread waits for changes. Another one confirms the copy by reading the store's
 * revision: a call for changes that hears nothing proves nothing, as its connection may
 * be dead or the store may have dropped its history.
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

	private final BackgroundThread follower = new BackgroundThread("store-follower", this::followStep);

	private final BackgroundThread confirmer = new BackgroundThread("store-confirmer", this::confirmStep);

	private final Map<String, String> values = new HashMap<>();

	/** Removed keys whose removal is held back. */
	private final Set<String> heldBack = new HashSet<>();

	/** Revision of the copy, negative before the first read. */
	private long revision = -1;

	/** Revision of the last read of everything; older changes are in it. */
	private long readRevision = -1;

	private boolean historyLost;

	/** Time of the next confirmation; used by its thread only. */
	private long confirmDueMs = Long.MIN_VALUE;

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
	 * Starts the threads that follow the store.
	 */
	public void start() {
		this.follower.start();
		this.confirmer.start();
	}

	@Override
	public void close() {
		this.follower.close();
		this.confirmer.close();
	}

	/**
	 * Reads everything, or waits for changes. Called by its thread, or by a test instead
	 * of it.
	 * @return time until the next call, in milliseconds
	 */
	public long followStep() {
		long after = revision();
		if (after < 0) {
			return (readAll()) ? 0 : retryDelayMs();
		}
		StoreResult<StoreChanges> result = this.feed.changes("", after, this.options.waitMs());
		return switch (result) {
			case StoreResult.Ok<StoreChanges> ok -> takeChanges(ok.value());
			case StoreResult.NotFound<StoreChanges> compacted -> {
				forgetRevision();
				yield 0;
			}
			case StoreResult.Conflict<StoreChanges> conflict -> failed("unexpected conflict");
			case StoreResult.Unavailable<StoreChanges> unavailable -> failed(unavailable.reason());
			case StoreResult.Unknown<StoreChanges> unknown -> failed(unknown.reason());
		};
	}

	/**
	 * Confirms the copy. Called by its thread, or by a test instead of it.
	 * @return time until the next confirmation, in milliseconds
	 */
	public long confirmStep() {
		if (revision() < 0) {
			return FIRST_RETRY_MS;
		}
		long sentMs = this.steadyMs.getAsLong();
		if (sentMs < this.confirmDueMs) {
			return this.confirmDueMs - sentMs;
		}
		long sentWallMs = this.wallMs.getAsLong();
		return switch (this.feed.revision()) {
			case StoreResult.Ok<Long> ok -> confirm(ok.value(), sentMs, sentWallMs);
			case StoreResult.NotFound<Long> none -> failed("the store has no revision");
			case StoreResult.Conflict<Long> conflict -> failed("unexpected conflict");
			case StoreResult.Unavailable<Long> unavailable -> failed(unavailable.reason());
			case StoreResult.Unknown<Long> unknown -> failed(unknown.reason());
		};
	}

	private long confirm(long newest, long sentMs, long sentWallMs) {
		answered();
		releaseHeldBack();
		if (newest > revision()) {
			pause(this.options.catchUpMs());
		}
		if (newest <= revision()) {
			this.listener.confirmed(sentMs, sentWallMs);
		}
		else if (!readAll()) {
			return retryDelayMs();
		}
		this.confirmDueMs = sentMs + this.options.confirmMs();
		return this.options.confirmMs();
	}

	private void pause(long ms) {
		try {
			TimeUnit.MILLISECONDS.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean readAll() {
		long sentMs = this.steadyMs.getAsLong();
		long sentWallMs = this.wallMs.getAsLong();
		StoreResult<StoreChanges> result = this.feed.read("");
		if (result instanceof StoreResult.Ok<StoreChanges> ok) {
			replace(ok.value());
			this.listener.confirmed(sentMs, sentWallMs);
			return true;
		}
		failed(reason(result));
		return false;
	}

	private static String reason(StoreResult<StoreChanges> result) {
		return switch (result) {
			case StoreResult.Unavailable<StoreChanges> unavailable -> unavailable.reason();
			case StoreResult.Unknown<StoreChanges> unknown -> unknown.reason();
			default -> "unexpected result";
		};
	}

	private synchronized long revision() {
		return (this.historyLost) ? -1 : this.revision;
	}

	private synchronized void forgetRevision() {
		this.historyLost = true;
	}

	private synchronized void replace(StoreChanges all) {
		answered();
		Set<String> present = new HashSet<>();
		all.changes().forEach((change) -> present.add(change.key()));
		Set<String> missing = new HashSet<>(this.values.keySet());
		missing.removeAll(present);
		missing.forEach(this::remove);
		all.changes().forEach(this::put);
		this.historyLost = false;
		this.readRevision = all.revision();
		this.revision = all.revision();
		this.listener.changed(Map.copyOf(this.values));
	}

	private synchronized long takeChanges(StoreChanges changes) {
		answered();
		boolean changed = false;
		for (StoreChange change : changes.changes()) {
			if (change.revision() > this.readRevision) {
				changed = true;
				if (change.value() != null) {
					put(change);
				}
				else {
					remove(change.key());
				}
			}
		}
		this.revision = Math.max(this.revision, changes.revision());
		if (changed) {
			this.listener.changed(Map.copyOf(this.values));
		}
		return (changed) ? this.options.batchDelayMs() : 0;
	}

	private void put(StoreChange change) {
		this.values.put(change.key(), change.value());
		this.heldBack.remove(change.key());
	}

	private void remove(String key) {
		if (this.steadyMs.getAsLong() < this.holdUntilMs && this.values.containsKey(key)) {
			this.heldBack.add(key);
		}
		else {
			this.values.remove(key);
		}
	}

	private synchronized void releaseHeldBack() {
		if (this.heldBack.isEmpty() || this.steadyMs.getAsLong() < this.holdUntilMs) {
			return;
		}
		this.heldBack.forEach(this.values::remove);
		this.heldBack.clear();
		this.listener.changed(Map.copyOf(this.values));
	}

	private synchronized void answered() {
		long nowMs = this.steadyMs.getAsLong();
		if (this.away) {
			this.away = false;
			this.holdUntilMs = nowMs + this.options.holdRemovalsMs();
			this.listener.storeAvailable(nowMs - this.answeredAtMs);
		}
		this.answeredAtMs = nowMs;
		this.retryMs = FIRST_RETRY_MS;
	}

	private synchronized long failed(String reason) {
		if (!this.away) {
			this.away = true;
			this.listener.storeUnavailable(reason);
		}
		this.retryMs = Math.min(MAX_RETRY_MS, this.retryMs * 2);
		return this.retryMs / 2;
	}

	private synchronized long retryDelayMs() {
		return this.retryMs;
	}

}
