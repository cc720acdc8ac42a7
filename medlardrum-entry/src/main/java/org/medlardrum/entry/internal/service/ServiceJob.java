package org.medlardrum.entry.internal.service;

import org.medlardrum.state.Rank;
import org.medlardrum.transport.ServiceRequest;

/**
 * A validated plain-service call, ready for admission.
 *
 * @param requestId identifier of the request
 * @param organisation name of the organisation
 * @param route name of the route
 * @param pool name of the pool
 * @param rank rank of the route
 * @param idempotent whether the call may run more than once
 * @param idempotencyKey idempotency key of the caller, empty for none
 * @param fingerprint fingerprint of the request, by which crash suspects are recognised
 * @param httpRequest request to send to the backend server
 * @param timeoutMs timeout of the route
 * @param deadlineMs time at which the timeout of the route expires, in milliseconds since
 * the epoch
 */
public record ServiceJob(String requestId, String organisation, String route, String pool, Rank rank,
		boolean idempotent, String idempotencyKey, String fingerprint, ServiceRequest httpRequest, long timeoutMs,
		long deadlineMs) {

	/**
	 * Returns whether the call needs a claim before it runs.
	 * @return {@code true} for a non-idempotent call with a key
	 */
	public boolean needsClaim() {
		return !this.idempotent && !this.idempotencyKey.isEmpty();
	}

}
