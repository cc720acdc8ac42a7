package org.medlardrum.coordination;

/**
 * A change of a key in the platform's store.
 *
 * @param key the key
 * @param value the value written, {@code null} when the key was removed
 * @param version version of the change
 */
public record StoreChange(String key, String value, StoreVersion version) {
}
