package org.medlardrum.decisions;

/**
 * Decision of an admission queue on offered work.
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
	 * The work is not queued and was not executed.
	 *
	 * @param reason short technical reason; part of recorded traces
	 * @param retryAfterMs time after which a retry can succeed, in milliseconds
	 */
	record Refused(String reason, long retryAfterMs) implements AdmissionDecision {
	}

}
