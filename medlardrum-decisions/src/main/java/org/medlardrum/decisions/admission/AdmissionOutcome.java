package org.medlardrum.decisions.admission;

/**
 * What happens to a request for which no capacity is free.
 */
public sealed interface AdmissionOutcome {

	/**
	 * The request waits and is listed by {@link AdmissionWaitlist#inOrder}.
	 */
	record Wait() implements AdmissionOutcome {
	}

	/**
	 * The request is refused before it is started.
	 *
	 * @param reason reason, for logs and the response
	 * @param retryAfterMs time after which the caller should return,
	 * {@link ReturnTime#NO_RETRY} when a retry is not expected to help
	 */
	record Refuse(String reason, long retryAfterMs) implements AdmissionOutcome {
	}

}
