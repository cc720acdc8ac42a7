package org.medlardrum.coordination.follow;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.medlardrum.coordination.ChangeFeed;
import org.medlardrum.coordination.StoreChanges;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.coordination.follow.PeerConfirmations.PeerConfirmation;
import org.medlardrum.coordination.internal.BackgroundThread;
import org.tinylog.Logger;

/**
 * Keeps a copy of the store's keys and reports until when the copy was current. One
 * thread waits for changes. Another one confirms the copy by reading the store's version.
 * A call for changes that returns none does not confirm the copy, because its connection
 * may be unresponsive or the store may have dropped its history.
 *
 * <p>
 * A store that is restored from an older copy begins a new era. The copy is then read
 * again as a whole; versions of different eras neither confirm nor extend it, and an
 * answer of an earlier era changes nothing.
 *
 * <p>
 * Entries whose leases expired while the store was unavailable, or that a restored store
 * has lost, are written again when their owners reach the store; their removals are held
 * back for that time. A failed read after which the store answers soon is no such outage.
 */
public final class StoreFollower implements StoreReads, AutoCloseable {

	private static final long FIRST_RETRY_MS = 100;

	private static final long MAX_RETRY_MS = 600;

	private static final long CATCH_UP_POLL_MS = 10;

	private static final String EARLIER_ERA = "an answer of an earlier era";

	private final ChangeFeed feed;

	private final StoreListener listener;

	private final LongSupplier monotonicMs;

	private final LongSupplier wallMs;

	private final FollowerOptions options;

	private volatile PeerConfirmations peers = PeerConfirmations.NONE;

	private final LastRead lastRead;

	/** Whether another host waits for a read of the store. */
	private volatile boolean readAsked;

	private volatile Runnable readListener = () -> {
	};

	private final BackgroundThread follower = new BackgroundThread("store-follower", this::followStep);

	private final BackgroundThread confirmer = new BackgroundThread("store-confirmer", this::confirmStep);

	private final StoreCopy copy = new StoreCopy();

	/** Time of the next confirmation. */
	private volatile long confirmDueMs = Long.MIN_VALUE;

	/** Number of calls for changes that were ended because they had stalled. */
	private volatile long stalledCalls;

	private StoreState state;

	private long followRetryMs = FIRST_RETRY_MS;

	/**
	 * Creates a follower.
	 * @param feed the store
	 * @param listener receives changes and confirmations
	 * @param monotonicMs monotonic clock
	 * @param wallMs wall clock
	 * @param options settings
	 */
	public StoreFollower(ChangeFeed feed, StoreListener listener, LongSupplier monotonicMs, LongSupplier wallMs,
			FollowerOptions options) {
		this.feed = Objects.requireNonNull(feed, "feed");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.monotonicMs = Objects.requireNonNull(monotonicMs, "monotonicMs");
		this.wallMs = Objects.requireNonNull(wallMs, "wallMs");
		this.options = Objects.requireNonNull(options, "options");
		this.lastRead = new LastRead(monotonicMs, wallMs);
		this.state = new StoreState.Available(monotonicMs.getAsLong());
	}

	/**
	 * Sets the hosts that are asked for the newest version before the store is read.
	 * @param confirmations the hosts
	 */
	public void usePeers(PeerConfirmations confirmations) {
		this.peers = Objects.requireNonNull(confirmations, "confirmations");
	}

	@Override
	public void onRead(Runnable action) {
		this.readListener = Objects.requireNonNull(action, "action");
	}

	@Override
	public Optional<PeerConfirmation> lastRead(long maxAgeMs) {
		return this.lastRead.within(maxAgeMs);
	}

	@Override
	public long maxReadAgeMs() {
		return this.options.confirmations().maxReadAgeMs();
	}

	@Override
	public void requestRead() {
		this.readAsked = true;
		this.confirmer.wake();
	}

	/**
	 * Ends a batch delay that began before a shorter one applied.
	 */
	public void followNow() {
		this.follower.wake();
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
	 * Reads all keys when there is no valid copy, otherwise waits for changes. Called by
	 * the follower thread, or directly by tests.
	 * @return time until the next call, in milliseconds
	 */
	public long followStep() {
		if (isWaitingForStore()) {
			return MAX_RETRY_MS;
		}
		StoreVersion after = version();
		if (after == null) {
			return (readAll()) ? 0 : followRetryDelayMs();
		}
		long stalledBefore = this.stalledCalls;
		long sentMs = this.monotonicMs.getAsLong();
		StoreResult<StoreChanges> result = this.feed.changes("", after, this.options.waitMs());
		if (this.stalledCalls != stalledBefore && !(result instanceof StoreResult.Ok)) {
			return 0;
		}
		return switch (result) {
			case StoreResult.Ok<StoreChanges> ok -> applyChanges(ok.value(), sentMs);
			case StoreResult.NotFound<StoreChanges> compacted -> {
				markHistoryLost();
				yield 0;
			}
			case StoreResult.Conflict<StoreChanges> conflict -> recordFailedWait("unexpected conflict");
			case StoreResult.Unavailable<StoreChanges> unavailable -> recordFailedWait(unavailable.reason());
			case StoreResult.Unknown<StoreChanges> unknown -> recordFailedWait(unknown.reason());
		};
	}

	/**
	 * Confirms the copy if a confirmation is due. Called by the confirmer thread, or
	 * directly by tests.
	 * @return time until the next confirmation, in milliseconds
	 */
	public long confirmStep() {
		if (version() == null) {
			return FIRST_RETRY_MS;
		}
		long sentMs = this.monotonicMs.getAsLong();
		long dueMs = nextConfirmationMs();
		if (sentMs < dueMs && !this.readAsked) {
			return dueMs - sentMs;
		}
		long sentWallMs = this.wallMs.getAsLong();
		if (!this.readAsked && isStoreAvailable() && confirmThroughPeer(sentMs, sentWallMs)) {
			return nextConfirmationDelayMs();
		}
		this.readAsked = false;
		StoreResult<StoreVersion> result = this.feed.version();
		if (result instanceof StoreResult.Ok<StoreVersion> ok && !isEarlierEra(ok.value())) {
			this.lastRead.record(ok.value(), sentMs, sentWallMs);
		}
		this.readListener.run();
		return switch (result) {
			case StoreResult.Ok<StoreVersion> ok -> confirm(ok.value(), sentMs, sentWallMs);
			case StoreResult.NotFound<StoreVersion> none -> recordFailedRead("the store returned no version");
			case StoreResult.Conflict<StoreVersion> conflict -> recordFailedRead("unexpected conflict");
			case StoreResult.Unavailable<StoreVersion> unavailable -> recordFailedRead(unavailable.reason());
			case StoreResult.Unknown<StoreVersion> unknown -> recordFailedRead(unknown.reason());
		};
	}

	private synchronized boolean isStoreAvailable() {
		return this.state instanceof StoreState.Available;
	}

	// While the confirmer finds the store unavailable, only the confirmer calls it.
	private synchronized boolean isWaitingForStore() {
		return this.state instanceof StoreState.Away && this.copy.version() != null;
	}

	// Returns false if this host has to read the store itself.
	private boolean confirmThroughPeer(long askedMs, long askedWallMs) {
		Optional<PeerConfirmation> told = this.peers.ask();
		if (told.isEmpty() || told.get().ageMs() > maxReadAgeMs() || isEarlierEra(told.get().newest())) {
			return false;
		}
		long ageMs = told.get().ageMs();
		recordPeerAnswer(askedMs - ageMs);
		if (!catchUpWith(told.get().newest()) || isReadTooOldForRemovals(askedMs, askedMs - ageMs)) {
			return false;
		}
		applyHeldBackRemovals(askedMs - ageMs);
		notifyListener((listener) -> listener.confirmed(askedMs - ageMs, askedWallMs - ageMs));
		scheduleConfirmation(askedMs - ageMs);
		return true;
	}

	// Returns whether the copy has all changes up to the version.
	private boolean catchUpWith(StoreVersion newest) {
		awaitChanges(newest);
		if (isMissingChanges(newest)) {
			readMissingChanges(newest);
		}
		return !isMissingChanges(newest);
	}

	// The connection of the waiting call is unresponsive if a call that is sent later,
	// over a new connection, is answered first.
	private void readMissingChanges(StoreVersion newest) {
		StoreVersion before = version();
		long sentMs = this.monotonicMs.getAsLong();
		if (before == null || !before.isSameEra(newest)
				|| !(this.feed.changesNow("", before) instanceof StoreResult.Ok<StoreChanges> ok)
				|| !isMissingChanges(newest)) {
			return;
		}
		applyChanges(ok.value(), sentMs);
		notifyListener((listener) -> listener.watchStalled(before, newest));
		this.stalledCalls++;
		this.feed.cancelChanges();
		this.follower.wake();
	}

	// The follower may be waiting for further changes before its next call.
	private void awaitChanges(StoreVersion newest) {
		if (isMissingChanges(newest)) {
			this.follower.wake();
		}
		for (long waitedMs = 0; isMissingChanges(newest)
				&& waitedMs < this.options.catchUpMs(); waitedMs += CATCH_UP_POLL_MS) {
			sleep(CATCH_UP_POLL_MS);
		}
	}

	private long confirm(StoreVersion newest, long sentMs, long sentWallMs) {
		if (isEarlierEra(newest)) {
			return recordFailedRead(EARLIER_ERA);
		}
		recordResponse(sentMs);
		if (catchUpWith(newest)) {
			applyHeldBackRemovals(sentMs);
			notifyListener((listener) -> listener.confirmed(sentMs, sentWallMs));
		}
		else if (!readAll()) {
			return MAX_RETRY_MS;
		}
		scheduleConfirmation(sentMs);
		return nextConfirmationDelayMs();
	}

	// The interval runs from the read of the store that has confirmed the copy. A later
	// change is unknown to this host until the next confirmation.
	private void scheduleConfirmation(long currentAsOfMs) {
		this.confirmDueMs = currentAsOfMs + this.options.confirmations().maxUnconfirmedMs();
	}

	private long nextConfirmationDelayMs() {
		return Math.max(0, nextConfirmationMs() - this.monotonicMs.getAsLong());
	}

	private boolean isMissingChanges(StoreVersion newest) {
		StoreVersion current = version();
		return current == null || newest.isAfter(current);
	}

	private synchronized boolean isEarlierEra(StoreVersion other) {
		return this.copy.isOfLaterEraThan(other);
	}

	private void sleep(long ms) {
		try {
			TimeUnit.MILLISECONDS.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean readAll() {
		long sentMs = this.monotonicMs.getAsLong();
		long sentWallMs = this.wallMs.getAsLong();
		StoreResult<StoreChanges> result = this.feed.read("");
		if (result instanceof StoreResult.Ok<StoreChanges> ok) {
			if (!replaceCopy(ok.value(), sentMs)) {
				recordFailedReadAll(EARLIER_ERA);
				return false;
			}
			notifyListener((listener) -> listener.confirmed(sentMs, sentWallMs));
			return true;
		}
		recordFailedReadAll(reason(result));
		return false;
	}

	private static String reason(StoreResult<StoreChanges> result) {
		return switch (result) {
			case StoreResult.Unavailable<StoreChanges> unavailable -> unavailable.reason();
			case StoreResult.Unknown<StoreChanges> unknown -> unknown.reason();
			default -> "unexpected result";
		};
	}

	private synchronized StoreVersion version() {
		return this.copy.version();
	}

	private synchronized void markHistoryLost() {
		this.copy.markHistoryLost();
	}

	// Returns false, and changes nothing, if the keys belong to an earlier era.
	private synchronized boolean replaceCopy(StoreChanges all, long sentMs) {
		if (isEarlierEra(all.version())) {
			return false;
		}
		recordResponse(sentMs);
		StoreVersion before = this.copy.lastVersion();
		if (before == null || !before.isSameEra(all.version())) {
			if (before != null) {
				holdRemovals();
			}
			notifyListener((listener) -> listener.eraChanged(before, all.version()));
		}
		this.copy.replace(all, this.monotonicMs.getAsLong());
		this.followRetryMs = FIRST_RETRY_MS;
		notifyChanged();
		return true;
	}

	private synchronized long applyChanges(StoreChanges changes, long sentMs) {
		if (isEarlierEra(changes.version())) {
			return recordFailedWait(EARLIER_ERA);
		}
		recordResponse(sentMs);
		if (!changes.version().isSameEra(this.copy.lastVersion())) {
			// Changes between the restored copy and the requested revision are missing.
			this.copy.markHistoryLost();
			return 0;
		}
		this.followRetryMs = FIRST_RETRY_MS;
		if (!this.copy.apply(changes, this.monotonicMs.getAsLong())) {
			return 0;
		}
		notifyChanged();
		return this.options.batchDelayMs().getAsLong();
	}

	private synchronized void notifyChanged() {
		Map<String, String> values = this.copy.values();
		notifyListener((listener) -> listener.changed(values));
		if (this.copy.removalsDueMs() != Long.MAX_VALUE) {
			this.confirmer.wake();
		}
	}

	private void holdRemovals() {
		this.copy.holdRemovalsUntil(this.monotonicMs.getAsLong() + this.options.holdRemovalsMs());
	}

	// A confirmation is due when removals are to take effect, because the copy may lack
	// that their keys were written again.
	private synchronized long nextConfirmationMs() {
		return Math.min(this.confirmDueMs, this.copy.removalsDueMs());
	}

	// Keys may have been written again after the other host's read.
	private synchronized boolean isReadTooOldForRemovals(long nowMs, long readAtMs) {
		long dueMs = this.copy.removalsDueMs();
		return nowMs >= dueMs && readAtMs < dueMs;
	}

	private synchronized void applyHeldBackRemovals(long currentAsOfMs) {
		if (this.copy.releaseRemovals(currentAsOfMs)) {
			notifyChanged();
		}
	}

	private synchronized void recordResponse(long sentMs) {
		if (this.state instanceof StoreState.Away away) {
			long outageMs = this.monotonicMs.getAsLong() - away.provenAtMs();
			boolean expired = outageMs >= this.options.expiryOutageMs();
			if (expired) {
				holdRemovals();
			}
			long heldMs = (expired) ? this.options.holdRemovalsMs() : 0;
			notifyListener((listener) -> listener.storeAvailable(outageMs, heldMs));
		}
		this.state = this.state.afterAnswer(sentMs);
	}

	private synchronized void recordPeerAnswer(long readAtMs) {
		this.state = this.state.afterPeerAnswer(readAtMs);
	}

	// Leaves it to the confirmer to find out whether the store is available, so that an
	// outage costs the calls of one thread only.
	private synchronized long recordFailedWait(String reason) {
		if (this.state instanceof StoreState.Available) {
			notifyListener((listener) -> listener.callFailed(reason));
		}
		this.state = this.state.afterFailedWait();
		return retryAfterConfirmation();
	}

	private synchronized void recordFailedReadAll(String reason) {
		recordFailedRead(reason);
		retryAfterConfirmation();
	}

	private synchronized long recordFailedRead(String reason) {
		if (!(this.state instanceof StoreState.Away)) {
			notifyListener((listener) -> listener.storeUnavailable(reason));
		}
		StoreState.Away away = this.state.afterFailedRead();
		this.state = away;
		return away.retryMs();
	}

	private long retryAfterConfirmation() {
		this.confirmDueMs = Long.MIN_VALUE;
		this.confirmer.wake();
		this.followRetryMs = Math.min(MAX_RETRY_MS, this.followRetryMs * 2);
		return this.followRetryMs / 2;
	}

	private synchronized long followRetryDelayMs() {
		return this.followRetryMs;
	}

	// The copy stays valid when the listener fails, and must not be read again for it.
	private void notifyListener(Consumer<StoreListener> call) {
		try {
			call.accept(this.listener);
		}
		catch (RuntimeException | StackOverflowError ex) {
			Logger.error(ex, "store: listener failed");
		}
	}

}
