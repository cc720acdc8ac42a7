package org.medlardrum.decisions.crash;

/**
 * Decides when a host may try a request with a suspected subject. Hosts that had such a
 * request at the crashed server go first, since its caller waits already; the others
 * follow in case none of them has one left. Hash values spread the hosts and the subjects
 * over time, so that a trial ends and is told before the next one begins, and two
 * subjects of one batch are rarely tried together.
 */
public final class TrialTurns {

	/**
	 * Duration of a turn: a prefill of up to 100 ms and a digest of 60 ms.
	 */
	static final long TURN_MS = 160;

	/**
	 * Time after a crash during which the last server that can take over is not put at
	 * risk by a trial; crashed servers are usually back within it.
	 */
	public static final long LAST_SERVER_DELAY_MS = 6_000;

	/** Turns of the hosts that had a request at the crashed server. */
	static final int WITNESS_TURNS = 4;

	/** Turns of the other hosts. */
	static final int OTHER_TURNS = 12;

	private TrialTurns() {
	}

	/**
	 * Returns the time between the last crash of a subject and the first trial on a host.
	 * @param subject the subject
	 * @param hostId identifier of the host
	 * @param witness whether a request of this host with the subject was at the crashed
	 * server
	 * @return the time in milliseconds
	 */
	public static long delayMs(Subject subject, String hostId, boolean witness) {
		int hash = 31 * subject.id().hashCode() + hostId.hashCode();
		hash ^= hash >>> 16;
		int turn = (witness) ? Math.floorMod(hash, WITNESS_TURNS) : WITNESS_TURNS + Math.floorMod(hash, OTHER_TURNS);
		return turn * TURN_MS;
	}

}
