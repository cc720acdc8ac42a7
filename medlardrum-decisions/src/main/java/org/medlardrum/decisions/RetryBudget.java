package org.medlardrum.decisions;

/**
 * Limits retries to a fraction of first attempts, so that retries cannot multiply the
 * load of a failing pool. A slow refill over time lets hosts with little traffic retry.
 */
public final class RetryBudget {

	// One retry per second is 2% of the 50 requests/s that a host is designed for, and
	// lets a host with one request per minute retry it.
	private static final double REFILL_PER_MS = 0.001;

	private final double share;

	private final double capacity;

	private double tokens;

	private long refilledAtMs = Long.MIN_VALUE;

	/**
	 * Creates a full budget.
	 * @param share retries as a fraction of first attempts
	 * @param capacity largest number of retries in a burst, at least 1
	 */
	public RetryBudget(double share, int capacity) {
		if (!(share >= 0) || capacity < 1) {
			throw new IllegalArgumentException("Retry budget has share " + share + " and capacity " + capacity
					+ "; the share must not be negative and the capacity must be at least 1");
		}
		this.share = share;
		this.capacity = capacity;
		this.tokens = capacity;
	}

	/**
	 * Records the first attempt of a request.
	 */
	public void onFirstAttempt() {
		this.tokens = Math.min(this.capacity, this.tokens + this.share);
	}

	/**
	 * Takes one retry from the budget.
	 * @param nowMs current time, in milliseconds
	 * @return {@code false} when the budget is exhausted
	 */
	public boolean tryRetry(long nowMs) {
		if (this.refilledAtMs != Long.MIN_VALUE && nowMs > this.refilledAtMs) {
			this.tokens = Math.min(this.capacity, this.tokens + (nowMs - this.refilledAtMs) * REFILL_PER_MS);
		}
		this.refilledAtMs = Math.max(this.refilledAtMs, nowMs);
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
