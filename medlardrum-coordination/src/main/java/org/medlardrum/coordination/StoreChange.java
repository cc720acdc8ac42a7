package org.medlardrum.coordination;

/**
 * A change of a key in the platform's store.
 *
 * @param key the key
 * @param value the value written, {@code null} when the key was removed
 * @param revision revision of the change
 */
public record StoreChange(String key, String value, long revision) {
}
