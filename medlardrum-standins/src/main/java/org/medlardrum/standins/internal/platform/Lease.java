package org.medlardrum.standins.internal.platform;

/**
 * A lease in the JSON form of the platform's interface.
 *
 * @param id identifier of the lease
 * @param ttlMs time to live after grant or renewal, in milliseconds
 */
public record Lease(String id, long ttlMs) {
}
