package org.medlardrum.entry.internal.admission;

/**
 * Result of offering a request for admission.
 */
public sealed interface AdmissionResult {

	/**
	 * The request may start now.
	 */
	record Started() implements AdmissionResult {
	}

	/**
	 * The request is refused and did not run.
	 *
	 * @param reason short technical reason
	 * @param retryAfterMs time after which a retry may succeed
	 */
	record Refused(String reason, long retryAfterMs) implements AdmissionResult {
	}

	/**
	 * The pool has no usable backend servers. The request did not run.
	 */
	record NoServers() implements AdmissionResult {
	}

	/**
	 * The request's timeout expired while it was queued. It did not run.
	 */
	record Expired() implements AdmissionResult {
	}

}
