package org.medlardrum.decisions.crash;

/**
 * Verdict on the subjects of a request.
 */
public sealed interface Verdict {

	/**
	 * The request may be sent.
	 */
	record Clear() implements Verdict {
	}

	/**
	 * A subject of the request may have crashed a server. It has to be tried alone.
	 *
	 * @param subject the subject
	 * @param sinceMs time on the monotonic clock at which its last crash was recorded
	 */
	record Suspected(Subject subject, long sinceMs) implements Verdict {
	}

	/**
	 * A subject of the request crashes servers. The request must not be sent.
	 *
	 * @param subject the subject
	 * @param untilMs time on the monotonic clock at which the evidence expires
	 */
	record Convicted(Subject subject, long untilMs) implements Verdict {
	}

}
