package org.medlardrum.entry.internal.model;

/**
 * Timeouts of one attempt.
 *
 * @param firstFrameTimeoutMs longest time until the first frame
 * @param minStallTimeoutMs lower bound of the longest gap between frames, which applies
 * to ranks with a short target
 */
public record AttemptTimeouts(long firstFrameTimeoutMs, long minStallTimeoutMs) {

	/**
	 * Multiple of the rank's target after which a gap between frames counts as a stall.
	 * Engines serve urgent sequences first, so a background sequence waits for many steps
	 * without any fault. Abandoning its attempt would cost a second prefill.
	 */
	private static final long STALL_PER_TARGET = 20;

	/**
	 * Returns the longest gap between frames. A longer gap is a stall.
	 * @param betweenTokensTargetMs target of the request's rank for the time between
	 * tokens
	 * @return the time, in milliseconds
	 */
	public long stallTimeoutMs(long betweenTokensTargetMs) {
		return Math.max(this.minStallTimeoutMs, STALL_PER_TARGET * betweenTokensTargetMs);
	}

}
