package org.medlardrum.coordination.gossip;

import java.util.List;

import org.medlardrum.peer.gen.OrganisationDemand;
import org.medlardrum.peer.gen.RankDemand;

/**
 * Demand and served cost of the own host.
 *
 * @param ranks demand per pool and rank
 * @param organisations demand per pool and organisation
 */
record OwnDemand(List<RankDemand> ranks, List<OrganisationDemand> organisations) {

	static final OwnDemand NONE = new OwnDemand(List.of(), List.of());

	OwnDemand {
		ranks = List.copyOf(ranks);
		organisations = List.copyOf(organisations);
	}

}
