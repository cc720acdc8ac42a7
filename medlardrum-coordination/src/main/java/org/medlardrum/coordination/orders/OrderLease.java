package org.medlardrum.coordination.orders;

import java.time.InstantSource;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreLease;
import org.medlardrum.coordination.StoreResult;
import org.tinylog.Logger;

/**
 * The lease of the order issuer. The revision of its key is the fencing token; the
 * store's revisions grow with every write, also when a key is removed and created again.
 * Validity is counted from before each call to the store, so it ends no later than in the
 * store.
 */
final class OrderLease {

	static final String KEY = "orders/lease";

	private final PlatformStore store;

	private final String hostId;

	private final InstantSource clock;

	private final OrderOptions options;

	private String leaseId;

	private long token;

	private long validUntilMs;

	private long renewAtMs;

	private long acquiredAtMs;

	OrderLease(PlatformStore store, String hostId, InstantSource clock, OrderOptions options) {
		this.store = store;
		this.hostId = hostId;
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
	 * Tells whether an order may be sent now. An engine that ignores fencing tokens needs
	 * more: the order ends before the lease does, and orders of the former holder have
	 * ended before the first order of this one.
	 * @param fencing whether the engine refuses old tokens
	 * @return whether the order may be sent
	 */
	boolean maySend(boolean fencing) {
		long nowMs = this.clock.millis();
		if (this.token == 0 || nowMs >= this.validUntilMs) {
			return false;
		}
		return fencing || (this.validUntilMs - nowMs > this.options.orderTimeoutMs() + this.options.marginMs()
				&& nowMs - this.acquiredAtMs >= this.options.leaseTtlMs() + this.options.marginMs());
	}

	/**
	 * Renews the lease when it is due.
	 */
	void renew() {
		if (this.token == 0) {
			return;
		}
		long startMs = this.clock.millis();
		if (startMs >= this.validUntilMs) {
			drop("it expired");
			return;
		}
		if (startMs < this.renewAtMs) {
			return;
		}
		switch (this.store.renewLease(this.leaseId)) {
			case StoreResult.Ok<StoreLease> ok -> valid(startMs, ok.value().ttlMs());
			case StoreResult.NotFound<StoreLease> none -> drop("the store does not know it");
			case StoreResult.Conflict<StoreLease> conflict -> drop("unexpected conflict");
			// The lease stays valid until its time ends; the next step tries again.
			case StoreResult.Unavailable<StoreLease> unavailable -> renewLater(startMs);
			case StoreResult.Unknown<StoreLease> unknown -> renewLater(startMs);
		}
	}

	private void renewLater(long nowMs) {
		this.renewAtMs = nowMs + this.options.leaseTtlMs() / 15;
	}

	private void valid(long startMs, long ttlMs) {
		long usableMs = Math.min(ttlMs, this.options.leaseTtlMs());
		this.validUntilMs = startMs + usableMs;
		this.renewAtMs = startMs + usableMs / 3;
	}

	void drop(String reason) {
		if (this.token != 0) {
			Logger.info("orders: lease with token {} given up: {}", this.token, reason);
		}
		this.token = 0;
	}

	/**
	 * Tries to get the lease when nobody holds it.
	 * @return whether it is held now
	 */
	boolean acquire() {
		if (!(this.store.get(KEY) instanceof StoreResult.NotFound<StoreEntry>)) {
			return false;
		}
		long startMs = this.clock.millis();
		if (!(this.store.createLease(this.options.leaseTtlMs()) instanceof StoreResult.Ok<StoreLease> lease)) {
			return false;
		}
		String holder = this.hostId + "/" + lease.value().id();
		StoreResult<StoreEntry> result = this.store.compareAndSet(KEY, PlatformStore.ABSENT, holder,
				lease.value().id());
		if (result instanceof StoreResult.Unknown<StoreEntry>) {
			// The lease identifier is unique, so the value shows whether the write was
			// ours.
			result = this.store.get(KEY);
		}
		if (!(result instanceof StoreResult.Ok<StoreEntry> ok) || !ok.value().value().equals(holder)) {
			return false;
		}
		this.leaseId = lease.value().id();
		this.token = ok.value().revision();
		this.acquiredAtMs = this.clock.millis();
		valid(startMs, lease.value().ttlMs());
		Logger.info("orders: lease acquired with token {}", this.token);
		return isHeld();
	}

}
