package org.medlardrum.decisions.routing;

/**
 * Decides how long a host that has started rehearses requests before it is ready. The
 * first requests of a process run cold code and take many times as long as later ones, so
 * after a rolling restart or on an added host their callers would wait. When all hosts
 * have started together, nobody else serves them, and the rehearsal only takes processor
 * time from them.
 */
public final class WarmUp {

	/** Longest rehearsal after a restart of a host while others serve. */
	static final long MAX_RESTART_MS = 4_000;

	/** Longest rehearsal when the whole system starts for the first time. */
	static final long MAX_FIRST_START_MS = 9_000;

	/**
	 * Callers' requests from which on the host is needed: it gets requests although it is
	 * not ready.
	 */
	static final int NEEDED_REQUESTS = 2;

	private WarmUp() {
	}

	/**
	 * Returns whether the rehearsal goes on.
	 * @param firstStart whether the whole system starts for the first time
	 * @param rehearsedMs time since the start of the rehearsal, in milliseconds
	 * @param received requests that callers have sent to this host
	 * @return {@code false} if its time is over, or callers need the host
	 */
	public static boolean goesOn(boolean firstStart, long rehearsedMs, long received) {
		return rehearsedMs < ((firstStart) ? MAX_FIRST_START_MS : MAX_RESTART_MS) && received < NEEDED_REQUESTS;
	}

}
