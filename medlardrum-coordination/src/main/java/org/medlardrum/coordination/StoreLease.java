package org.medlardrum.coordination;

/**
 * A lease granted by the platform's store.
 *
 * @param id identifier of the lease
 * @param ttlMs time from its creation or last renewal until it expires
 */
public record StoreLease(String id, long ttlMs) {
}
