package org.medlardrum.gateway;

import java.util.Optional;

/**
 * Result of checking the status and headers of a backend server's response.
 *
 * @param belongsToRequest whether the response belongs to the request that was sent
 * @param hasProofOfOrigin whether the response carries the server's proof of origin
 * @param notExecuted whether the server guarantees that the request was not executed
 * @param faultyAddress address of the server in the chain that caused a refusal
 */
public record BackendVerdict(boolean belongsToRequest, boolean hasProofOfOrigin, boolean notExecuted,
		Optional<String> faultyAddress) {
}
