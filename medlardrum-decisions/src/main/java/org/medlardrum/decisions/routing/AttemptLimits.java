package org.medlardrum.decisions.routing;

/**
 * Limits of the attempts of one request.
 *
 * @param maxServers largest number of servers that may have executed the request
 * @param maxSends largest number of attempts, including those that were not executed
 * @param idempotent whether more than one server may execute the request
 */
public record AttemptLimits(int maxServers, int maxSends, boolean idempotent) {

	public AttemptLimits {
		if (maxServers < 1 || maxSends < 1) {
			throw new IllegalArgumentException("Attempt limits must be at least 1, but are " + maxServers
					+ " servers and " + maxSends + " attempts");
		}
	}

}
