package org.medlardrum.decisions.pool;

/**
 * Limits of the attempts and searches of a stream, for the entry hosts and for models of
 * them.
 */
public final class StreamLimits {

	/** Attempts of one request, with those that did not run. */
	public static final int MAX_SENDS = 6;

	/** Fill up to which a stream that has begun may take an engine's KV cache. */
	public static final double RESUME_MAX_UTILISATION = 0.97;

	/**
	 * Fill up to which a chain takes streams that may only be slow where they are; above
	 * it their move would slow down others.
	 */
	public static final double SLOW_FAILOVER_MAX_UTILISATION = 0.7;

	/** Time between two questions during one silence; reports lag 200 ms. */
	public static final long PROBE_INTERVAL_MS = 300;

	/** Time between two looks for a chain when a stream that has begun finds none. */
	public static final long SEARCH_RETRY_INTERVAL_MS = 60;

	/**
	 * Longest search for a chain to resume; callers abandon a stream after 2 s of
	 * silence.
	 */
	public static final long MAX_RESUME_SEARCH_MS = 900;

	private StreamLimits() {
	}

}
