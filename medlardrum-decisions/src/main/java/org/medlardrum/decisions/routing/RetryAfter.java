package org.medlardrum.decisions.routing;

import java.util.random.RandomGenerator;

/**
 * Computes the time after which a refused caller should retry. The times are spread,
 * because callers that retry together are refused together. Less urgent ranks retry
 * later, so that urgent ones find free capacity first. A caller honours a time of up to a
 * third of its remaining time.
 */
public final class RetryAfter {

	/** Minimum delay, and its spread, when only this host cannot serve. */
	private static final long OTHER_HOST_MS = 100;

	/**
	 * Minimum time in which running requests free KV cache: half a typical completion.
	 */
	private static final long OVERLOADED_MIN_MS = 1_500;

	/** Spread of the delays, about the time of one typical completion. */
	private static final long OVERLOADED_SPREAD_MS = 2_000;

	/** Additional delay for each less urgent rank. */
	private static final long PER_RANK_MS = 700;

	private static final int REMAINING_TIME_DIVISOR = 3;

	/** Spread of the delays after the end of a server's pause. */
	private static final long PAUSE_SPREAD_MS = 500;

	private RetryAfter() {
	}

	/**
	 * Returns the delay after which the caller should try another host.
	 * @param random random source
	 * @return the delay in milliseconds
	 */
	public static long otherHostMs(RandomGenerator random) {
		return OTHER_HOST_MS + random.nextLong(OTHER_HOST_MS);
	}

	/**
	 * Returns the delay after which the first of the servers that want no requests now
	 * accepts them again.
	 * @param pauseMs remaining time of the pause that ends first, in milliseconds
	 * @param random random source
	 * @return the delay in milliseconds
	 */
	public static long afterPauseMs(long pauseMs, RandomGenerator random) {
		return pauseMs + 1 + random.nextLong(PAUSE_SPREAD_MS);
	}

	/**
	 * Returns the delay after which an overloaded service is likely to have free
	 * capacity.
	 * @param rank rank of the request
	 * @param remainingMs remaining time of the caller's request, in milliseconds
	 * @param random random source
	 * @return the delay in milliseconds
	 */
	public static long overloadedMs(int rank, long remainingMs, RandomGenerator random) {
		long delayMs = OVERLOADED_MIN_MS + rank * PER_RANK_MS + random.nextLong(OVERLOADED_SPREAD_MS);
		return Math.max(1, Math.min(delayMs, remainingMs / REMAINING_TIME_DIVISOR));
	}

}
