package org.medlardrum.entry.internal.admission;

import java.util.List;
import java.util.Map;

import org.medlardrum.peer.gen.OrganisationDemand;
import org.medlardrum.peer.gen.RankDemand;
import org.medlardrum.state.Rank;

/**
 * State of one pool's queue, published by the admission thread.
 *
 * @param pool name of the pool
 * @param queued number of queued requests, by rank
 * @param running number of running requests
 * @param rankDemand offered and served cost, by rank
 * @param organisationDemand offered and served cost, by organisation
 */
public record PoolStatus(String pool, Map<Rank, Integer> queued, int running, List<RankDemand> rankDemand,
		List<OrganisationDemand> organisationDemand) {
}
