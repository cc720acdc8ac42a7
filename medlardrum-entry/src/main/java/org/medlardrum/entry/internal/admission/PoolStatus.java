package org.medlardrum.entry.internal.admission;

import java.util.List;
import java.util.Map;

import org.medlardrum.peer.gen.OrganisationDemand;
import org.medlardrum.peer.gen.RankDemand;
import org.medlardrum.state.Rank;

/**
 * Published state of one pool's queue.
 *
 * @param pool name of the pool
 * @param queued requests that wait, by rank
 * @param running requests that run
 * @param rankDemand demand and served cost by rank
 * @param organisationDemand demand and served cost by organisation
 */
public record PoolStatus(String pool, Map<Rank, Integer> queued, int running, List<RankDemand> rankDemand,
		List<OrganisationDemand> organisationDemand) {
}
