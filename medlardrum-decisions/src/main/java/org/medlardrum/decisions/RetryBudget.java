package org.medlardrum.decisions;

/**
 * Limits retries to a share of first attempts, so that retries cannot multiply the load
 * of a pool that is failing. A small refill over time lets hosts with little traffic
 * retry.
 */
public final class RetryBudget {

	// One retry a second is 2% of a host's 50 requests/s at design size, and lets a host
	// with one request a minute retry it.
	private static final double REFILL_PER_MS = 0.001;

	private final double share;

	private final double capacity;

	private double tokens;

	private long refilledAtMs = Long.MIN_VALUE;

	/**
	 * Creates a full budget.
	 * @param share retries as a share of first attempts
	 * @param capacity largest number of retries in a burst
	 */
	public RetryBudget(double share, int capacity) {
		if (!(share >= 0) || capacity < 1) {
			throw new IllegalArgumentException("Retry budget has share " + share + " and capacity " + capacity);
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
	 * @param nowMs clock reading, in milliseconds
	 * @return {@code false} when the budget is used up
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
