package org.medlardrum.standins.internal.platform;

/**
 * A key with its value and revision, in the JSON format of the platform's interface.
 *
 * @param key the key
 * @param value the value
 * @param revision revision of the last write; no two writes have the same revision, also
 * of different keys
 */
public record KvEntry(String key, String value, long revision) {
}
