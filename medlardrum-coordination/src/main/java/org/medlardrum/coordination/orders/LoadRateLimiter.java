package org.medlardrum.coordination.orders;

/**
 * Token bucket that limits model loads from the weight store. Its capacity is six
 * seconds' worth of loads, so that a new issuer cannot start a whole minute's loads at
 * once.
 */
final class LoadRateLimiter {

	private static final double BURST_MINUTES = 0.1;

	private double tokens = 1;

	private long refilledAtMs;

	LoadRateLimiter(long nowMs) {
		this.refilledAtMs = nowMs;
	}

	boolean tryAcquire(double loadsPerMinute, long nowMs) {
		double burst = Math.max(1, loadsPerMinute * BURST_MINUTES);
		double refilled = this.tokens + loadsPerMinute * Math.max(0, nowMs - this.refilledAtMs) / 60_000;
		this.tokens = Math.min(burst, refilled);
		this.refilledAtMs = nowMs;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
