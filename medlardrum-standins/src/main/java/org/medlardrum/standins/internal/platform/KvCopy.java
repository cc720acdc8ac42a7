package org.medlardrum.standins.internal.platform;

import java.util.Map;

/**
 * Copy of the key-value store, to which it can be restored.
 *
 * @param takenAtMs time of the copy, in milliseconds
 * @param versions last version of each key
 * @param leases leases by identifier
 * @param lastRevision last assigned revision
 * @param lastLeaseNumber number in the last assigned lease identifier
 */
record KvCopy(long takenAtMs, Map<String, KvVersion> versions, Map<String, Lease> leases, long lastRevision,
		long lastLeaseNumber) {
}
