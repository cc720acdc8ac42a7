package org.medlardrum.entry.internal.fleet;

/**
 * Determines how often the load of a backend server is polled. Each server is assigned to
 * one entry host of its availability zone, which polls it at the base interval.
 */
final class PollSchedule {

	/**
	 * Factor on the base interval for servers assigned to other hosts. They may be polled
	 * less often, because their load reports also arrive at the end of each stream.
	 */
	private static final int OTHER_SERVERS_FACTOR = 12;

	/**
	 * Limits the polls of servers assigned to other hosts to one per second in total. A
	 * poll takes about 0.5 ms of CPU time, and at the default base interval of 5 s, 3,000
	 * servers would otherwise need 50 polls per second.
	 */
	private static final long OTHER_SERVERS_SPACING_MS = 1000;

	private PollSchedule() {
	}

	/**
	 * Returns the interval between two polls of a server.
	 * @param ownServer whether the server is assigned to this host
	 * @param serverCount number of listed servers
	 * @param pollIntervalMs base interval, for servers assigned to this host
	 * @return the interval, in milliseconds
	 */
	static long intervalMs(boolean ownServer, int serverCount, long pollIntervalMs) {
		return (ownServer) ? pollIntervalMs
				: Math.max(OTHER_SERVERS_FACTOR * pollIntervalMs, serverCount * OTHER_SERVERS_SPACING_MS);
	}

}
