package org.medlardrum.standins.internal.platform;

/**
 * A stored value in the JSON form of the platform's interface.
 *
 * @param key the key
 * @param value the value
 * @param revision revision of the last write; revisions are unique over all keys
 */
public record KvEntry(String key, String value, long revision) {
}
