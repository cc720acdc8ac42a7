package org.medlardrum.decisions.crash;

import org.medlardrum.state.routing.ServerStart;

/**
 * One subject of a request that a server had not begun to answer when it crashed.
 *
 * @param crash the start of the server that ended with the crash, so that all hosts name
 * it alike; hosts of an earlier build name a server without its start
 * @param subject the subject
 * @param position position of a part in its prompt, 0 for the first one and for a
 * request; fewer requests share a part the later it stands
 * @param state how far the subject is cleared of this crash
 * @param ageMs time in milliseconds since the crash was first recorded
 */
public record Evidence(ServerStart crash, Subject subject, int position, State state, long ageMs) {

	/**
	 * How far a subject is cleared of a crash. Hosts merge evidence by keeping the later
	 * constant, so they converge regardless of the order in which they receive it.
	 */
	public enum State {

		/** No server is known to have begun an answer with the subject. */
		SUSPECT,

		/** A server had begun an answer with the subject before the crash was known. */
		KNOWN_BEFORE,

		/** A server has begun an answer with the subject since the crash was known. */
		CLEARED

	}

}
