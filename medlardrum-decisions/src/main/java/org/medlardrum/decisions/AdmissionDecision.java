package org.medlardrum.decisions;

/**
 * Answer of the admission queue to an offer.
 */
public sealed interface AdmissionDecision {

	/**
	 * The work is queued and will start unless it is cancelled or expires.
	 *
	 * @param expectedWaitMs expected time until it starts, in milliseconds
	 */
	record Accepted(long expectedWaitMs) implements AdmissionDecision {
	}

	/**
	 * The work is not queued and did not run.
	 *
	 * @param reason short technical reason
	 * @param retryAfterMs time after which a retry can help, in milliseconds
	 */
	record Refused(String reason, long retryAfterMs) implements AdmissionDecision {
	}

}
