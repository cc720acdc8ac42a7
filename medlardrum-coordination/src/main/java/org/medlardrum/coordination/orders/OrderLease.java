package org.medlardrum.coordination.orders;

import java.time.InstantSource;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreLease;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;
import org.tinylog.Logger;

/**
 * Lease of the host that issues orders, as {@link OrderIssuer} or
 * {@link PlacementIssuer}. The fencing token is made from the version of its key, which
 * increases with every write, also when a key is removed and created again, and across
 * restores of the store. The validity starts at the time before each call to the store,
 * so the lease expires here no later than in the store. A lease of an earlier era is
 * lost: the store may have assigned its identifier again.
 */
final class OrderLease {

	static final String KEY = "orders/lease";

	private final PlatformStore store;

	private final String ownHostId;

	private final InstantSource clock;

	private final OrderOptions options;

	private String leaseId;

	private long era;

	private long token;

	private long validUntilMs;

	private long renewAtMs;

	private long acquiredAtMs;

	private volatile StoreEra knownEra;

	OrderLease(PlatformStore store, String ownHostId, InstantSource clock, OrderOptions options) {
		this.store = store;
		this.ownHostId = ownHostId;
		this.clock = clock;
		this.options = options;
	}

	long token() {
		return this.token;
	}

	boolean isHeld() {
		return this.token != 0 && this.clock.millis() < this.validUntilMs;
	}

	/**
	 * Returns whether an order may be sent now. For an engine that ignores fencing
	 * tokens, the order must also time out before the lease expires, and orders of the
	 * former holder must have timed out before the first order of this one.
	 * @param fencing whether the engine refuses outdated fencing tokens
	 * @return whether the order may be sent
	 */
	boolean maySend(boolean fencing) {
		long waitMs = this.options.leaseTtlMs() + this.options.marginMs();
		return (fencing) ? isHeld() : maySendAt(this.acquiredAtMs + waitMs);
	}

	/**
	 * Returns whether an order may be sent now to an engine that refuses orders which are
	 * based on an outdated report. The lease was acquired after the former one had ended
	 * in the store, so orders of the former holder have timed out after
	 * {@code orderTimeoutMs} and the margin. Only a store that was restored may have lost
	 * a lease that is still valid for its holder.
	 * @return whether the order may be sent
	 */
	boolean maySendFirst() {
		long leaseMs = this.options.leaseTtlMs() + this.options.marginMs();
		StoreEra known = this.knownEra;
		if (known == null || known.era != this.era) {
			return maySendAt(this.acquiredAtMs + leaseMs);
		}
		return maySendAt(Math.max(this.acquiredAtMs + this.options.orderTimeoutMs() + this.options.marginMs(),
				known.sinceMs + leaseMs));
	}

	private boolean maySendAt(long firstOrderMs) {
		long nowMs = this.clock.millis();
		return isHeld() && nowMs >= firstOrderMs
				&& this.validUntilMs - nowMs > this.options.orderTimeoutMs() + this.options.marginMs();
	}

	/**
	 * Records the era of the store that this host follows.
	 * @param newEra the era
	 */
	void recordStoreEra(long newEra) {
		this.knownEra = new StoreEra(newEra, this.clock.millis());
	}

	/**
	 * Renews the lease after a third of its time to live. When the store is unavailable,
	 * the renewal is retried after a fifteenth of it.
	 */
	void renew() {
		if (this.token == 0) {
			return;
		}
		long startMs = this.clock.millis();
		if (startMs >= this.validUntilMs) {
			abandon("it expired before it was renewed");
			return;
		}
		if (startMs < this.renewAtMs) {
			return;
		}
		switch (this.store.renewLease(this.leaseId)) {
			case StoreResult.Ok<StoreLease> ok -> {
				if (ok.value().era() == this.era) {
					extendValidity(startMs, ok.value().ttlMs());
				}
				else {
					abandon("the store was restored, its era is " + ok.value().era() + " after " + this.era);
				}
			}
			case StoreResult.NotFound<StoreLease> none -> abandon("the store has no such lease");
			case StoreResult.Conflict<StoreLease> conflict -> abandon("the store reported an unexpected conflict");
			// The lease stays valid until it expires; renewal is retried.
			case StoreResult.Unavailable<StoreLease> unavailable -> scheduleRenewalRetry(startMs);
			case StoreResult.Unknown<StoreLease> unknown -> scheduleRenewalRetry(startMs);
		}
	}

	private void scheduleRenewalRetry(long nowMs) {
		this.renewAtMs = nowMs + this.options.leaseTtlMs() / 15;
	}

	private void extendValidity(long startMs, long ttlMs) {
		long usableMs = Math.min(ttlMs, this.options.leaseTtlMs());
		this.validUntilMs = startMs + usableMs;
		this.renewAtMs = startMs + usableMs / 3;
	}

	void abandon(String reason) {
		if (this.token != 0) {
			Logger.info("orders: lease with token {} abandoned: {}", this.token, reason);
		}
		this.token = 0;
	}

	/**
	 * Tries to acquire the lease if no host holds it.
	 * @return whether this host holds the lease now
	 */
	boolean acquire() {
		if (!(this.store.get(KEY) instanceof StoreResult.NotFound<StoreEntry>)) {
			return false;
		}
		long startMs = this.clock.millis();
		if (!(this.store.createLease(this.options.leaseTtlMs()) instanceof StoreResult.Ok<StoreLease> lease)) {
			return false;
		}
		String holder = this.ownHostId + "/" + lease.value().id();
		StoreResult<StoreEntry> result = this.store.compareAndSet(KEY, StoreVersion.ABSENT, holder, lease.value().id());
		if (result instanceof StoreResult.Unknown<StoreEntry>) {
			// The lease identifier is unique, so the value shows whether the write took
			// effect.
			result = this.store.get(KEY);
		}
		if (!(result instanceof StoreResult.Ok<StoreEntry> ok) || !ok.value().value().equals(holder)
				|| ok.value().version().era() != lease.value().era()) {
			return false;
		}
		this.leaseId = lease.value().id();
		this.era = lease.value().era();
		this.token = ok.value().version().fencingToken();
		this.acquiredAtMs = this.clock.millis();
		extendValidity(startMs, lease.value().ttlMs());
		Logger.info("orders: lease acquired with token {}", this.token);
		return isHeld();
	}

	/**
	 * Era of the store.
	 *
	 * @param era the era
	 * @param sinceMs time since when this host follows it
	 */
	private record StoreEra(long era, long sinceMs) {
	}

}
