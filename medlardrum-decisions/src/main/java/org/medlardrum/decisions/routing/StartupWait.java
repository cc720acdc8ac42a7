package org.medlardrum.decisions.routing;

/**
 * Decides whether a request that arrives before the host's first configuration waits for
 * it. When all hosts restart at the same time, their callers retry together, no other
 * host can serve them, and a refusal would use up a caller's only retry. A host without a
 * configuration long after its start cannot reach the store, and refuses requests
 * immediately.
 *
 * <pre>
 * boolean waits = StartupWait.waits(nowMs - startedMs, nowMs - arrivedMs);
 * </pre>
 */
public final class StartupWait {

	/**
	 * Time after the start of a host within which its first configuration is expected. It
	 * takes 0.35 to 0.75 s on the users' hosts, which have half a core, and counts at
	 * most 0.4 s later, after the other hosts had time to tell a newer one.
	 */
	static final long CONFIGURATION_MS = 1_300;

	/** Longest wait of one request, below the users' latency target of 500 ms. */
	static final long MAX_WAIT_MS = 450;

	private StartupWait() {
	}

	/**
	 * Returns whether a request waits for the first configuration.
	 * @param sinceStartMs time since the start of the host, in milliseconds
	 * @param waitedMs time since the arrival of the request, in milliseconds
	 * @return {@code true} if it waits, {@code false} if it is refused
	 */
	public static boolean waits(long sinceStartMs, long waitedMs) {
		return sinceStartMs < CONFIGURATION_MS && waitedMs < MAX_WAIT_MS;
	}

}
