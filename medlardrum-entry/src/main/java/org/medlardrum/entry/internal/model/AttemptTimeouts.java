package org.medlardrum.entry.internal.model;

/**
 * Timeouts of one attempt.
 *
 * @param firstFrameTimeoutMs longest time to the first frame
 * @param minStallTimeoutMs longest time between frames for ranks with a short target
 */
public record AttemptTimeouts(long firstFrameTimeoutMs, long minStallTimeoutMs) {

	/**
	 * Engines serve urgent sequences first, so a background sequence waits for many steps
	 * without any fault. An attempt abandoned then would cost a second prefill.
	 */
	private static final long STALL_PER_TARGET = 20;

	/**
	 * Returns the longest time between frames.
	 * @param betweenTokensTargetMs target of the request's rank
	 * @return the time, in milliseconds
	 */
	public long stallTimeoutMs(long betweenTokensTargetMs) {
		return Math.max(this.minStallTimeoutMs, STALL_PER_TARGET * betweenTokensTargetMs);
	}

}
