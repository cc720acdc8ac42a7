package org.medlardrum.coordination;

/**
 * A lease granted by the platform's store.
 *
 * @param id identifier of the lease; another history of the store may give it out again
 * @param ttlMs time from its creation or last renewal until it expires
 * @param era era of the store that answered
 */
public record StoreLease(String id, long ttlMs, long era) {
}
