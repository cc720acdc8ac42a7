package org.medlardrum.gateway;

import java.util.Optional;

/**
 * What the header of a backend server's response says.
 *
 * @param belongsToRequest whether it answers the request that was sent
 * @param hasProofOfOrigin whether it bears the server's proof of origin
 * @param notExecuted whether the server promises that the request did not run
 * @param faultyAddress address of the server of the chain that caused a refusal
 */
public record BackendVerdict(boolean belongsToRequest, boolean hasProofOfOrigin, boolean notExecuted,
		Optional<String> faultyAddress) {
}
