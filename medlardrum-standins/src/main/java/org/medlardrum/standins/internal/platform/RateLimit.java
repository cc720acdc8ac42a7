package org.medlardrum.standins.internal.platform;

/**
 * Token bucket that holds the calls of one second. Thread-safe.
 */
public final class RateLimit {

	private final double perS;

	private double tokens;

	private long lastNs = System.nanoTime();

	/**
	 * Creates a full bucket.
	 * @param perS calls per second, 0 for no limit
	 */
	public RateLimit(double perS) {
		this.perS = perS;
		this.tokens = perS;
	}

	/**
	 * Takes a token if there is one.
	 * @return {@code false} if the call exceeds the limit
	 */
	public synchronized boolean tryTake() {
		if (this.perS <= 0) {
			return true;
		}
		long nowNs = System.nanoTime();
		this.tokens = Math.min(this.perS, this.tokens + (nowNs - this.lastNs) * this.perS / 1e9);
		this.lastNs = nowNs;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
