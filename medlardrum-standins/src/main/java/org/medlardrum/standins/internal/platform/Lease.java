package org.medlardrum.standins.internal.platform;

/**
 * A lease, in the JSON format of the platform's interface.
 *
 * @param id identifier of the lease
 * @param ttlMs time to live from the grant or the last renewal, in milliseconds
 */
public record Lease(String id, long ttlMs) {
}
