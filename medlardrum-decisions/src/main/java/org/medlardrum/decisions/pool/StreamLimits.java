package org.medlardrum.decisions.pool;

/**
 * Limits for the attempts and chain searches of a stream. The entry hosts and the
 * simulation of the pool share them.
 */
public final class StreamLimits {

	/** Largest number of attempts of one request, including those that did not run. */
	public static final int MAX_ATTEMPTS = 6;

	/** Largest cache utilisation of an engine to which a started stream may resume. */
	public static final double RESUME_MAX_UTILISATION = 0.97;

	/**
	 * Largest cache utilisation of a chain that takes over streams that may merely be
	 * slow on their current chain. Above it the failover would slow down other streams.
	 */
	public static final double SLOW_FAILOVER_MAX_UTILISATION = 0.7;

	/** Interval between probes of a chain during one gap; reports lag by 200 ms. */
	public static final long PROBE_INTERVAL_MS = 300;

	/** Retry interval of the chain search when a started stream finds no chain. */
	public static final long SEARCH_RETRY_INTERVAL_MS = 60;

	/**
	 * Longest search for a chain on which to resume a stream. Callers abandon a stream
	 * after a gap of 2 s between events.
	 */
	public static final long MAX_RESUME_SEARCH_MS = 900;

	private StreamLimits() {
	}

}
