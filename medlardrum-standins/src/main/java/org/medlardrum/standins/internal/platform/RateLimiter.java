package org.medlardrum.standins.internal.platform;

/**
 * Token bucket with a capacity of one second's calls. Thread-safe.
 */
public final class RateLimiter {

	private final double ratePerS;

	private double tokens;

	private long lastRefillNs = System.nanoTime();

	/**
	 * Creates a full bucket.
	 * @param ratePerS rate limit, in calls per second, 0 for no limit
	 */
	public RateLimiter(double ratePerS) {
		this.ratePerS = ratePerS;
		this.tokens = ratePerS;
	}

	/**
	 * Takes a token if one is available.
	 * @return {@code false} if the call exceeds the rate limit
	 */
	public synchronized boolean tryAcquire() {
		if (this.ratePerS <= 0) {
			return true;
		}
		long nowNs = System.nanoTime();
		this.tokens = Math.min(this.ratePerS, this.tokens + (nowNs - this.lastRefillNs) * this.ratePerS / 1e9);
		this.lastRefillNs = nowNs;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
