package org.medlardrum.decisions;

/**
 * What one entry host knows about a fingerprint, in the form in which peers exchange it.
 *
 * @param kind what is known
 * @param fingerprint fingerprint of the request
 * @param crashes crashes at which the request was present
 * @param untilMs for a quarantine, its end; for a suspect, when the suspicion lapses, in
 * milliseconds
 */
public record FingerprintStatus(Kind kind, String fingerprint, int crashes, long untilMs) {

	/**
	 * What is known about a fingerprint.
	 */
	public enum Kind {

		/** The request was present at a crash. */
		SUSPECT,

		/** The request is refused until the given time. */
		QUARANTINED,

		/** The request completed after it was a suspect. */
		CLEARED

	}

}
