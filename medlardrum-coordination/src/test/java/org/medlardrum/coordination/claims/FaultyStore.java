package org.medlardrum.coordination.claims;

import java.util.List;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreLease;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.state.HostDirectory;

/**
 * Connection of one host to the store, with fault injection for this host only.
 */
final class FaultyStore implements PlatformStore {

	private final PlatformStore store;

	/** Replaces each write; returns its argument to leave the write unchanged. */
	UnaryOperator<Supplier<StoreResult<StoreEntry>>> writes = (write) -> write;

	boolean readsFail;

	FaultyStore(PlatformStore store) {
		this.store = store;
	}

	@Override
	public StoreResult<StoreEntry> get(String key) {
		return (this.readsFail) ? new StoreResult.Unavailable<>("reads fail") : this.store.get(key);
	}

	@Override
	public StoreResult<StoreEntry> compareAndSet(String key, StoreVersion expected, String value, String leaseId) {
		return this.writes.apply(() -> this.store.compareAndSet(key, expected, value, leaseId)).get();
	}

	@Override
	public StoreResult<StoreEntry> watch(String key, StoreVersion after, long waitMs) {
		return this.store.watch(key, after, waitMs);
	}

	@Override
	public StoreResult<List<StoreEntry>> list(String prefix) {
		return (this.readsFail) ? new StoreResult.Unknown<>("reads fail") : this.store.list(prefix);
	}

	@Override
	public StoreResult<StoreLease> createLease(long ttlMs) {
		return this.store.createLease(ttlMs);
	}

	@Override
	public StoreResult<StoreLease> renewLease(String leaseId) {
		return this.store.renewLease(leaseId);
	}

	@Override
	public StoreResult<HostDirectory> hosts(long afterRevision, long waitMs) {
		return this.store.hosts(afterRevision, waitMs);
	}

}
