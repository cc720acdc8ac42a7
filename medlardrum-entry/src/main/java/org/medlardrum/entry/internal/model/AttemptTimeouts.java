package org.medlardrum.entry.internal.model;

/**
 * Times after which a silent attempt is replaced if a successor is in hand. They never
 * end an attempt that has none.
 *
 * @param firstFrameTimeoutMs time until the first frame
 * @param minStallTimeoutMs lower bound of the gap between frames, which applies to ranks
 * with a short target
 */
public record AttemptTimeouts(long firstFrameTimeoutMs, long minStallTimeoutMs) {

	/**
	 * Multiple of the rank's target after which a gap between frames counts as a stall.
	 * Engines serve urgent sequences first, so a background sequence waits for many steps
	 * without any fault. Abandoning its attempt would cost a second prefill.
	 */
	private static final long STALL_PER_TARGET = 20;

	/**
	 * Returns the gap between frames from which the attempt counts as stalled, which is
	 * also the interval at which a silent attempt is checked again.
	 * @param betweenTokensTargetMs target of the request's rank for the time between
	 * tokens
	 * @return the time, in milliseconds
	 */
	public long stallTimeoutMs(long betweenTokensTargetMs) {
		return Math.max(this.minStallTimeoutMs, STALL_PER_TARGET * betweenTokensTargetMs);
	}

}
