package org.medlardrum.coordination;

/**
 * A value in the platform's store.
 *
 * @param key the key
 * @param value the value
 * @param version version of the last write of this key
 */
public record StoreEntry(String key, String value, StoreVersion version) {
}
