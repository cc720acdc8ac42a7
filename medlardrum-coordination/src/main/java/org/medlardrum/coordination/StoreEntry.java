package org.medlardrum.coordination;

/**
 * A value in the platform's store.
 *
 * @param key the key
 * @param value the value
 * @param revision revision of the last write of this key, greater than 0
 */
public record StoreEntry(String key, String value, long revision) {
}
