package org.medlardrum.standins.internal.engine;

/**
 * A change to the prefix cache of an engine.
 *
 * @param sequence sequence number of the event, from 1; lost events leave gaps
 * @param kind {@code stored} or {@code removed}
 * @param hash hash of the prefix
 * @param chars length of the prefix, in characters
 * @param atMs time of the change, in milliseconds
 */
public record CacheEvent(long sequence, String kind, String hash, int chars, long atMs) {
}
