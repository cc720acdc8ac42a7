package org.medlardrum.decisions;

import org.medlardrum.state.Rank;

/**
 * A request that asks for admission to a pool.
 *
 * @param id unique id in the queue
 * @param rank rank of the request
 * @param organisation organisation that sent it
 * @param cost expected cost: tokens × layers for models, 1 for a plain call
 * @param arrivedAtMs clock reading at arrival, in milliseconds
 * @param expiresAtMs clock reading after which the caller no longer wants the response,
 * in milliseconds
 */
public record Work(long id, Rank rank, String organisation, double cost, long arrivedAtMs, long expiresAtMs) {

	public Work {
		if (!(cost > 0) || Double.isInfinite(cost)) {
			throw new IllegalArgumentException("Work " + id + " has cost " + cost + "; it must be positive and finite");
		}
	}

}
