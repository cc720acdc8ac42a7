package org.medlardrum.decisions;

/**
 * Crash status of a request fingerprint on one entry host, in the form that peers
 * exchange.
 *
 * @param kind kind of the status
 * @param fingerprint fingerprint of the request
 * @param crashes number of crashes in whose batch the request was
 * @param untilMs end of the quarantine or the suspicion, in milliseconds
 */
public record FingerprintStatus(Kind kind, String fingerprint, int crashes, long untilMs) {

	/**
	 * Kind of a status.
	 */
	public enum Kind {

		/** The request was in the batch of an engine that crashed. */
		SUSPECT,

		/** The request is refused until the end of the quarantine. */
		QUARANTINED,

		/**
		 * The request is no longer a suspect: it completed, or its crashes are attributed
		 * to a quarantined request.
		 */
		CLEARED

	}

}
