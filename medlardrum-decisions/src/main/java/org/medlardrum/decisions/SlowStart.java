package org.medlardrum.decisions;

/**
 * Grows the share of work that a joining backend server gets, because caches and
 * just-in-time compiled code are cold after a start.
 */
public final class SlowStart {

	// A tenth is enough traffic to warm caches.
	private static final double INITIAL_SHARE = 0.1;

	private final long durationMs;

	/**
	 * Creates a slow start.
	 * @param durationMs time until the full share, 0 for none, in milliseconds
	 */
	public SlowStart(long durationMs) {
		this.durationMs = durationMs;
	}

	/**
	 * Returns the share of full load that a backend server may get.
	 * @param joinedAtMs clock reading when the server joined, in milliseconds
	 * @param nowMs clock reading, in milliseconds
	 * @return the share, from 0.1 to 1
	 */
	public double share(long joinedAtMs, long nowMs) {
		if (this.durationMs <= 0) {
			return 1;
		}
		double progress = Math.min(1, Math.max(0, (nowMs - joinedAtMs) / (double) this.durationMs));
		return INITIAL_SHARE + (1 - INITIAL_SHARE) * progress;
	}

}
