package org.medlardrum.coordination;

/**
 * A lease granted by the platform's store.
 *
 * @param id identifier of the lease
 * @param ttlMs time to live after grant or renewal
 */
public record StoreLease(String id, long ttlMs) {
}
