package org.medlardrum.decisions.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One host's share of the budget for retries that all hosts have together. In any window
 * the repeats of a host stay within a ratio of its own first attempts plus its part of a
 * fixed allowance, so the sum over all hosts stays within the budget without a
 * coordinator. Not safe for use by several threads.
 */
public final class HostRetryBudget {

	private final double ratio;

	private final long windowMs;

	private final Deque<Long> firstAttempts = new ArrayDeque<>();

	private final Deque<Long> repeats = new ArrayDeque<>();

	/**
	 * Creates a share.
	 * @param ratio repeats allowed for each first attempt in the window
	 * @param windowMs length of the window, in milliseconds
	 */
	public HostRetryBudget(double ratio, long windowMs) {
		if (!(ratio >= 0) || windowMs < 1) {
			throw new IllegalArgumentException("Retry share has ratio " + ratio + " and window " + windowMs + " ms");
		}
		this.ratio = ratio;
		this.windowMs = windowMs;
	}

	/**
	 * Records the first attempt of a request.
	 * @param nowMs clock reading
	 */
	public void onFirstAttempt(long nowMs) {
		this.firstAttempts.addLast(nowMs);
		expire(nowMs);
	}

	/**
	 * Takes one repeat from the share.
	 * @param allowance this host's part of the fixed allowance of a window
	 * @param nowMs clock reading
	 * @return {@code false} when the share is used up
	 */
	public boolean tryRetry(double allowance, long nowMs) {
		expire(nowMs);
		if (this.repeats.size() + 1 > this.ratio * this.firstAttempts.size() + allowance) {
			return false;
		}
		this.repeats.addLast(nowMs);
		return true;
	}

	private void expire(long nowMs) {
		long oldest = nowMs - this.windowMs;
		while (!this.firstAttempts.isEmpty() && this.firstAttempts.getFirst() < oldest) {
			this.firstAttempts.removeFirst();
		}
		while (!this.repeats.isEmpty() && this.repeats.getFirst() < oldest) {
			this.repeats.removeFirst();
		}
	}

}
