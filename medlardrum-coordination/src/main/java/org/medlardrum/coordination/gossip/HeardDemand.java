package org.medlardrum.coordination.gossip;

import java.util.List;

import org.medlardrum.peer.gen.Digest;
import org.medlardrum.peer.gen.OrganisationDemand;
import org.medlardrum.peer.gen.RankDemand;

/**
 * Demand of a peer as its last digest told.
 *
 * @param hostId the peer
 * @param ranks per pool and rank
 * @param organisations per pool and organisation, the heaviest only
 * @param heardAtMs own clock reading at receipt
 */
record HeardDemand(String hostId, List<RankDemand> ranks, List<OrganisationDemand> organisations, long heardAtMs) {

	static HeardDemand of(Digest digest, long nowMs) {
		return new HeardDemand(digest.getHostId(), digest.getRanks(),
				(digest.isSetOrganisations()) ? digest.getOrganisations() : List.of(), nowMs);
	}

}
