package org.medlardrum.entry.internal.model;

/**
 * Timeouts of one attempt.
 *
 * @param firstFrameMs longest time to the first frame
 * @param stallMs longest time between frames
 */
public record AttemptTimeouts(long firstFrameMs, long stallMs) {
}
