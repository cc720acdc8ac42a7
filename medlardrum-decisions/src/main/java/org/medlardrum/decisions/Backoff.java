package org.medlardrum.decisions;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter.
 */
public final class Backoff {

	private static final int MAX_DOUBLINGS = 30;

	private final long baseMs;

	private final long maxMs;

	/**
	 * Creates a backoff.
	 * @param baseMs upper bound of the first delay, in milliseconds
	 * @param maxMs upper bound of all delays, in milliseconds
	 */
	public Backoff(long baseMs, long maxMs) {
		if (baseMs < 1 || maxMs < baseMs) {
			throw new IllegalArgumentException("Backoff from " + baseMs + " ms to " + maxMs
					+ " ms is invalid; it must start at 1 ms or more and not decrease");
		}
		this.baseMs = baseMs;
		this.maxMs = maxMs;
	}

	/**
	 * Returns the delay before an attempt. Full jitter spreads the retries of callers
	 * that failed at the same moment.
	 * @param attempt number of failed attempts, from 1
	 * @param random random source
	 * @return the delay, 1 ms to the bound of the attempt
	 */
	public long delayMs(int attempt, RandomGenerator random) {
		int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, attempt - 1));
		long bound = (this.baseMs > this.maxMs >> doublings) ? this.maxMs : this.baseMs << doublings;
		return 1 + random.nextLong(bound);
	}

}
