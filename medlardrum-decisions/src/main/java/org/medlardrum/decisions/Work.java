package org.medlardrum.decisions;

import org.medlardrum.state.Rank;

/**
 * Work item of an admission queue: a request that needs a slot of a pool.
 *
 * @param id id, unique among the queued and running work of the queue
 * @param rank rank of the request
 * @param organisation organisation that sent it
 * @param cost expected cost: tokens × layers for a model, 1 for a plain service call
 * @param arrivedAtMs time of arrival, in milliseconds
 * @param expiresAtMs time from which the caller no longer waits for the response, in
 * milliseconds
 */
public record Work(long id, Rank rank, String organisation, double cost, long arrivedAtMs, long expiresAtMs) {

	public Work {
		if (!(cost > 0) || Double.isInfinite(cost)) {
			throw new IllegalArgumentException("Work " + id + " has cost " + cost + "; it must be positive and finite");
		}
	}

}
