package org.medlardrum.coordination;

import java.util.List;

import org.medlardrum.state.HostDirectory;

/**
 * Port to the platform's key-value service and host list. A method blocks for at most the
 * configured timeout, plus {@code waitMs} if it has one. A failure of the service is a
 * {@link StoreResult}, never an exception.
 */
public interface PlatformStore {

	/**
	 * Reads a key.
	 * @param key the key
	 * @return the entry
	 */
	StoreResult<StoreEntry> get(String key);

	/**
	 * Writes a key if its version is as expected. A version of an earlier era is never as
	 * expected, although its revision may have been assigned again.
	 * @param key the key
	 * @param expected version that the key must have, {@link StoreVersion#ABSENT} if it
	 * must not exist
	 * @param value value to write, at most 1 MB
	 * @param leaseId lease whose expiry removes the key, {@code null} for none
	 * @return the written entry
	 */
	StoreResult<StoreEntry> compareAndSet(String key, StoreVersion expected, String value, String leaseId);

	/**
	 * Waits until a key has a version after the given one.
	 * @param key the key
	 * @param after latest version that the caller has, {@link StoreVersion#ABSENT} to
	 * wait for creation
	 * @param waitMs maximum wait for a change
	 * @return the entry, or {@code NotFound} when the wait ended without a change
	 */
	StoreResult<StoreEntry> watch(String key, StoreVersion after, long waitMs);

	/**
	 * Lists the entries whose key starts with a prefix, in key order.
	 * @param prefix the prefix
	 * @return the entries
	 */
	StoreResult<List<StoreEntry>> list(String prefix);

	/**
	 * Creates a lease.
	 * @param ttlMs time to live
	 * @return the lease
	 */
	StoreResult<StoreLease> createLease(long ttlMs);

	/**
	 * Renews a lease.
	 * @param leaseId the lease
	 * @return the lease, or {@code NotFound} when it has expired
	 */
	StoreResult<StoreLease> renewLease(String leaseId);

	/**
	 * Reads the host list, waiting until its revision is above the given one.
	 * @param afterRevision latest revision that the caller has, 0 for none
	 * @param waitMs maximum wait for a change
	 * @return the list, or {@code NotFound} when the wait ended without a change
	 */
	StoreResult<HostDirectory> hosts(long afterRevision, long waitMs);

}
