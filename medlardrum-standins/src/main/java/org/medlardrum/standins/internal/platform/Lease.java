package org.medlardrum.standins.internal.platform;

/**
 * Lease of the key-value store, in the JSON format of its HTTP interface.
 *
 * @param id identifier of the lease
 * @param ttlMs time to live from the grant or the last renewal, in milliseconds
 * @param era era of the store
 */
public record Lease(String id, long ttlMs, long era) {
}
