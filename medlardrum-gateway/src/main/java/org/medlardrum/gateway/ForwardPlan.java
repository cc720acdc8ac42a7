package org.medlardrum.gateway;

import java.util.List;
import java.util.Optional;

import org.medlardrum.decisions.pool.ChainHop;

/**
 * Parameters of one attempt at a backend server.
 *
 * @param remainingMs time in milliseconds after which the server must stop working on the
 * request
 * @param instanceId identifier of the server instance that the attempt addresses
 * @param organisation organisation of the caller
 * @param chain engines that hold the layers in order, empty for a plain service
 * @param rank rank of the request, 0 is the highest
 * @param lastEventId identifier of the last event the caller has received, negative for
 * none
 */
public record ForwardPlan(long remainingMs, String instanceId, Optional<String> organisation, List<ChainHop> chain,
		int rank, long lastEventId) {

	/**
	 * Returns this plan with another remaining time.
	 * @param newRemainingMs the remaining time in milliseconds
	 * @return the plan
	 */
	public ForwardPlan withRemainingMs(long newRemainingMs) {
		return new ForwardPlan(newRemainingMs, this.instanceId, this.organisation, this.chain, this.rank,
				this.lastEventId);
	}

}
