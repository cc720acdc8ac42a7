package org.medlardrum.standins.internal.platform;

/**
 * Entry of the key-value store, in the JSON format of its HTTP interface.
 *
 * @param key the key
 * @param value the value
 * @param revision revision of the last write; revisions are unique across all keys of an
 * era
 * @param era era of the store
 */
public record KvEntry(String key, String value, long revision, long era) {
}
