package org.medlardrum.coordination.membership;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreLease;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.coordination.internal.BackgroundThread;
import org.tinylog.Logger;

/**
 * Keeps this host's entry in the platform's store, through which the other hosts discover
 * it: writes it with a lease, renews the lease, and writes the entry again when the store
 * has lost it.
 *
 * <pre>
 * HostRegistration registration = new HostRegistration(store, "hosts/a-1", entryJson, 600_000, monotonicMs);
 * registration.start();
 * </pre>
 */
public final class HostRegistration implements AutoCloseable {

	private static final long RETRY_MS = 700;

	/** The lease is renewed after this fraction of its time to live. */
	private static final int RENEWALS_PER_TTL = 3;

	private final PlatformStore store;

	private final String key;

	private final String value;

	private final long leaseTtlMs;

	private final LongSupplier monotonicMs;

	private final BackgroundThread thread = new BackgroundThread("host-registration", this::step);

	/** Time at which the entry is next checked, on the monotonic clock. */
	private final AtomicLong checkAtMs = new AtomicLong(Long.MAX_VALUE);

	private StoreLease lease;

	private long renewAtMs;

	private long retryAtMs = Long.MIN_VALUE;

	/**
	 * Creates a registration that does nothing until it is started.
	 * @param store the store
	 * @param key key of the entry
	 * @param value value of the entry
	 * @param leaseTtlMs time to live of the entry without renewals
	 * @param monotonicMs monotonic clock
	 */
	public HostRegistration(PlatformStore store, String key, String value, long leaseTtlMs, LongSupplier monotonicMs) {
		this.store = Objects.requireNonNull(store, "store");
		this.key = Objects.requireNonNull(key, "key");
		this.value = Objects.requireNonNull(value, "value");
		this.monotonicMs = Objects.requireNonNull(monotonicMs, "monotonicMs");
		if (leaseTtlMs < RENEWALS_PER_TTL) {
			throw new IllegalArgumentException("Time to live of " + leaseTtlMs + " ms is too short");
		}
		this.leaseTtlMs = leaseTtlMs;
	}

	/**
	 * Starts the thread that keeps the entry.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * Checks after a delay whether the store still has the entry. Hosts choose different
	 * delays after a restore of the store, to spread their calls.
	 * @param delayMs the delay
	 */
	public void checkAfter(long delayMs) {
		this.checkAtMs.set(this.monotonicMs.getAsLong() + delayMs);
		this.thread.wake();
	}

	/**
	 * Writes the entry, renews its lease or checks the entry if that is due. Called by
	 * the thread, or directly by tests.
	 * @return time until the next step, in milliseconds
	 */
	public long step() {
		long nowMs = this.monotonicMs.getAsLong();
		if (nowMs < this.retryAtMs) {
			return this.retryAtMs - nowMs;
		}
		long checkDueMs = this.checkAtMs.get();
		if (this.lease != null && nowMs >= checkDueMs) {
			if (!checkEntry()) {
				return retryLater(nowMs);
			}
			this.checkAtMs.compareAndSet(checkDueMs, Long.MAX_VALUE);
		}
		if (this.lease != null && nowMs >= this.renewAtMs && !renew(nowMs)) {
			return retryLater(nowMs);
		}
		if (this.lease == null && !register(nowMs)) {
			return retryLater(nowMs);
		}
		return Math.max(1, Math.min(this.renewAtMs, this.checkAtMs.get()) - nowMs);
	}

	private long retryLater(long nowMs) {
		this.retryAtMs = nowMs + RETRY_MS;
		return RETRY_MS;
	}

	// Returns false if the check must be repeated.
	private boolean checkEntry() {
		switch (this.store.get(this.key)) {
			case StoreResult.Ok<StoreEntry> ok -> {
				if (!ok.value().value().equals(this.value)) {
					forget("the store holds another entry");
				}
			}
			case StoreResult.NotFound<StoreEntry> lost -> forget("the store has lost it");
			case StoreResult.Conflict<StoreEntry> conflict -> {
				return false;
			}
			case StoreResult.Unavailable<StoreEntry> unavailable -> {
				return false;
			}
			case StoreResult.Unknown<StoreEntry> unknown -> {
				return false;
			}
		}
		return true;
	}

	// Returns false if the renewal must be repeated.
	private boolean renew(long nowMs) {
		switch (this.store.renewLease(this.lease.id())) {
			case StoreResult.Ok<StoreLease> ok when ok.value().era() == this.lease.era() -> scheduleRenewal(nowMs);
			case StoreResult.Ok<StoreLease> restored -> forget("its lease is of an earlier era");
			case StoreResult.NotFound<StoreLease> expired -> forget("its lease has ended");
			case StoreResult.Conflict<StoreLease> conflict -> {
				return false;
			}
			case StoreResult.Unavailable<StoreLease> unavailable -> {
				return false;
			}
			case StoreResult.Unknown<StoreLease> unknown -> {
				return false;
			}
		}
		return true;
	}

	private void forget(String reason) {
		this.lease = null;
		Logger.info("membership: entry {} is written again, {}", this.key, reason);
	}

	private boolean register(long nowMs) {
		if (!(this.store.createLease(this.leaseTtlMs) instanceof StoreResult.Ok<StoreLease> created)) {
			return false;
		}
		StoreResult<StoreEntry> found = this.store.get(this.key);
		StoreVersion version = (found instanceof StoreResult.Ok<StoreEntry> ok) ? ok.value().version()
				: StoreVersion.ABSENT;
		StoreResult<StoreEntry> written = this.store.compareAndSet(this.key, version, this.value, created.value().id());
		if (!(written instanceof StoreResult.Ok<StoreEntry>)) {
			return false;
		}
		this.lease = created.value();
		scheduleRenewal(nowMs);
		Logger.info("membership: entry {} written with lease {} of era {}", this.key, this.lease.id(),
				this.lease.era());
		return true;
	}

	private void scheduleRenewal(long nowMs) {
		this.renewAtMs = nowMs + this.leaseTtlMs / RENEWALS_PER_TTL;
	}

}
