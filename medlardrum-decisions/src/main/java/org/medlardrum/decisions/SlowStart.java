package org.medlardrum.decisions;

/**
 * Gradually increases the load of a joining backend server, whose caches and just-in-time
 * compiled code are cold after a start.
 */
public final class SlowStart {

	// A tenth of the full load is enough traffic to warm caches.
	private static final double INITIAL_SHARE = 0.1;

	private final long durationMs;

	/**
	 * Creates a slow start.
	 * @param durationMs time until the full load, in milliseconds; 0 disables the slow
	 * start
	 */
	public SlowStart(long durationMs) {
		this.durationMs = durationMs;
	}

	/**
	 * Returns the fraction of the full load that a backend server may receive.
	 * @param joinedAtMs time at which the server joined, in milliseconds
	 * @param nowMs current time, in milliseconds
	 * @return the fraction, from 0.1 to 1
	 */
	public double share(long joinedAtMs, long nowMs) {
		if (this.durationMs <= 0) {
			return 1;
		}
		double progress = Math.min(1, Math.max(0, (nowMs - joinedAtMs) / (double) this.durationMs));
		return INITIAL_SHARE + (1 - INITIAL_SHARE) * progress;
	}

}
