package org.medlardrum.decisions.routing;

/**
 * Decides whether a request that arrives before the host's first configuration waits for
 * it. It answers the restart of all hosts at once: their callers come back at the same
 * moment, no other host can serve them, and a refusal would use up a caller's only
 * repeat. A host that has no configuration long after its start cannot reach the store,
 * and refuses at once.
 *
 * <pre>
 * boolean waits = StartupWait.waits(nowMs - startedMs, nowMs - arrivedMs);
 * </pre>
 */
public final class StartupWait {

	/**
	 * Time from the start of a host to its first configuration; 0.35 to 0.75 s on the
	 * users' hosts, of half a core.
	 */
	static final long CONFIGURATION_MS = 900;

	/** Longest wait of one request, below the users' latency target of 500 ms. */
	static final long MAX_WAIT_MS = 450;

	private StartupWait() {
	}

	/**
	 * Returns whether a request waits for the first configuration.
	 * @param sinceStartMs time since the start of the host, in milliseconds
	 * @param waitedMs time since the arrival of the request, in milliseconds
	 * @return {@code false} if it is to be refused
	 */
	public static boolean waits(long sinceStartMs, long waitedMs) {
		return sinceStartMs < CONFIGURATION_MS && waitedMs < MAX_WAIT_MS;
	}

}
