package org.medlardrum.entry.internal.fleet;

/**
 * Decides how often the load of a backend server is read.
 */
final class PollSchedule {

	/** Servers of other hosts' shares are known from the ends of streams as well. */
	private static final int OTHERS_FACTOR = 12;

	/**
	 * Bounds the reads of other hosts' shares to one a second: a read costs about 0.5 ms
	 * of processor time, and 3,000 servers would cost 50 reads a second.
	 */
	private static final long OTHERS_SPACING_MS = 1000;

	private PollSchedule() {
	}

	/**
	 * Returns the time between two reads of a server.
	 * @param ownShare whether the server is in this host's share
	 * @param servers number of listed servers
	 * @param pollIntervalMs interval of the own share
	 * @return the time, in milliseconds
	 */
	static long intervalMs(boolean ownShare, int servers, long pollIntervalMs) {
		return (ownShare) ? pollIntervalMs : Math.max(OTHERS_FACTOR * pollIntervalMs, servers * OTHERS_SPACING_MS);
	}

}
