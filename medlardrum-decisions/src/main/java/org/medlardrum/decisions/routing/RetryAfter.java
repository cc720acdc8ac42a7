package org.medlardrum.decisions.routing;

import java.util.random.RandomGenerator;

/**
 * Decides when a refused caller may come back. Returns are spread, because callers that
 * come back together are refused together. Less urgent ranks come back later, so that the
 * urgent ones find room first. A caller honours a time up to a third of what it has left.
 */
public final class RetryAfter {

	/** Time until another host is asked when only this host cannot serve. */
	private static final long OTHER_HOST_MS = 100;

	/** Shortest time in which running requests free memory: half of a usual answer. */
	private static final long BUSY_MIN_MS = 1_500;

	/** Width of the spread of returns, about one usual answer. */
	private static final long BUSY_SPREAD_MS = 2_000;

	/** Additional delay for each rank. */
	private static final long PER_RANK_MS = 700;

	private static final int HONOURED_PART = 3;

	private RetryAfter() {
	}

	/**
	 * Returns when to ask another host.
	 * @param random random source
	 * @return the time in milliseconds
	 */
	public static long otherHostMs(RandomGenerator random) {
		return OTHER_HOST_MS + random.nextLong(OTHER_HOST_MS);
	}

	/**
	 * Returns when a busy service is likely to have room.
	 * @param rank rank of the request
	 * @param remainingMs time that the caller has left
	 * @param random random source
	 * @return the time in milliseconds
	 */
	public static long overloadedMs(int rank, long remainingMs, RandomGenerator random) {
		long wanted = BUSY_MIN_MS + rank * PER_RANK_MS + random.nextLong(BUSY_SPREAD_MS);
		return Math.max(1, Math.min(wanted, remainingMs / HONOURED_PART));
	}

}
