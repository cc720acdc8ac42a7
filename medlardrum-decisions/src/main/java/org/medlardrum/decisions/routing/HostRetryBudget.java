package org.medlardrum.decisions.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One host's share of the retry budget of all hosts. In any window the retries of a host
 * stay within a ratio of its own first attempts plus its share of a fixed allowance, so
 * the sum over all hosts stays within the budget without a coordinator. Not thread-safe.
 */
public final class HostRetryBudget {

	private final double ratio;

	private final long windowMs;

	private final Deque<Long> firstAttempts = new ArrayDeque<>();

	private final Deque<Long> retries = new ArrayDeque<>();

	/**
	 * Creates a budget without recorded attempts.
	 * @param ratio retries allowed for each first attempt in the window
	 * @param windowMs length of the window, in milliseconds
	 */
	public HostRetryBudget(double ratio, long windowMs) {
		if (!(ratio >= 0) || windowMs < 1) {
			throw new IllegalArgumentException(
					"Retry budget must have a ratio of at least 0 and a window of at least 1 ms, but has ratio " + ratio
							+ " and window " + windowMs + " ms");
		}
		this.ratio = ratio;
		this.windowMs = windowMs;
	}

	/**
	 * Records the first attempt of a request.
	 * @param nowMs current time on the monotonic clock
	 */
	public void onFirstAttempt(long nowMs) {
		this.firstAttempts.addLast(nowMs);
		expire(nowMs);
	}

	/**
	 * Takes one retry from the budget, if it allows one.
	 * @param allowance this host's share of the fixed allowance of a window
	 * @param nowMs current time on the monotonic clock
	 * @return {@code false} when the budget is exhausted
	 */
	public boolean tryRetry(double allowance, long nowMs) {
		boolean allowed = hasRetry(allowance, nowMs);
		if (allowed) {
			this.retries.addLast(nowMs);
		}
		return allowed;
	}

	/**
	 * Returns whether the budget allows a retry, without taking it.
	 * @param allowance this host's share of the fixed allowance of a window
	 * @param nowMs current time on the monotonic clock
	 * @return {@code false} when the budget is exhausted
	 */
	public boolean hasRetry(double allowance, long nowMs) {
		expire(nowMs);
		return this.retries.size() + 1 <= this.ratio * this.firstAttempts.size() + allowance;
	}

	private void expire(long nowMs) {
		long oldest = nowMs - this.windowMs;
		while (!this.firstAttempts.isEmpty() && this.firstAttempts.getFirst() < oldest) {
			this.firstAttempts.removeFirst();
		}
		while (!this.retries.isEmpty() && this.retries.getFirst() < oldest) {
			this.retries.removeFirst();
		}
	}

}
