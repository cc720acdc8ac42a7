package org.medlardrum.standins.internal.platform;

/**
 * One version of a key.
 *
 * @param entry the value, {@code null} if the key was removed
 * @param leaseId lease whose expiry removes the key, {@code null} for none
 * @param writtenAtMs time of the write, in milliseconds
 */
record KvVersion(KvEntry entry, String leaseId, long writtenAtMs) {
}
