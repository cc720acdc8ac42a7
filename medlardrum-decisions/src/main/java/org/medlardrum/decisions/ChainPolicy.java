package org.medlardrum.decisions;

import java.util.random.RandomGenerator;

import org.medlardrum.state.FleetSnapshot;

/**
 * Chooses the engines that run the layers of a request.
 */
public sealed interface ChainPolicy permits WeightedRandomPlanner, RoundRobinPlanner {

	/**
	 * Chooses a chain.
	 * @param query the request
	 * @param fleet engines of the model's pool
	 * @param random random source
	 * @return the chain, or why there is none
	 */
	ChainDecision plan(ChainQuery query, FleetSnapshot fleet, RandomGenerator random);

}
