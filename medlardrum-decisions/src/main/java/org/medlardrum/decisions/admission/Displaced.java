package org.medlardrum.decisions.admission;

import java.util.Objects;

/**
 * A waiting request that the waitlist gave up. It was not started, and its caller still
 * needs a response.
 *
 * @param request the request
 * @param reason reason, for logs and the response
 * @param retryAfterMs time after which the caller should return,
 * {@link ReturnTime#NO_RETRY} when a retry is not expected to help
 */
public record Displaced(AdmissionRequest request, String reason, long retryAfterMs) {

	/**
	 * Checks the values.
	 */
	public Displaced {
		Objects.requireNonNull(request, "request");
		Objects.requireNonNull(reason, "reason");
	}

}
