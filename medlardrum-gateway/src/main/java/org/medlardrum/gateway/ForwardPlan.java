package org.medlardrum.gateway;

import java.util.List;
import java.util.Optional;

import org.medlardrum.decisions.pool.ChainHop;

/**
 * How one attempt is sent to a backend server.
 *
 * @param remainingMs time until the server must stop working on it
 * @param instanceId identifier of the start of the server that is meant
 * @param organisation organisation of the caller
 * @param chain engines that share the layers, empty for a plain service
 * @param rank rank of the request, 0 first
 * @param lastEventId last event that the caller has, negative for none
 */
public record ForwardPlan(long remainingMs, String instanceId, Optional<String> organisation, List<ChainHop> chain,
		int rank, long lastEventId) {
}
