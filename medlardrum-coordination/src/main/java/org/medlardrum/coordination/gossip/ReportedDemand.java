package org.medlardrum.coordination.gossip;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.medlardrum.decisions.HostDemand;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.peer.gen.OrganisationDemand;
import org.medlardrum.peer.gen.RankDemand;
import org.medlardrum.state.Rank;

/**
 * Demand of a host as its last digest reported it.
 *
 * @param hostId the host
 * @param ranks demand per pool and rank
 * @param organisations demand per pool and organisation, of those with the highest demand
 * only
 * @param receivedAtMs time of receipt on the own clock
 */
record ReportedDemand(String hostId, List<RankDemand> ranks, List<OrganisationDemand> organisations,
		long receivedAtMs) {

	static ReportedDemand of(Digest digest, long nowMs) {
		return new ReportedDemand(digest.getHostId(), digest.getRanks(),
				(digest.isSetOrganisations()) ? digest.getOrganisations() : List.of(), nowMs);
	}

	HostDemand forPool(String pool) {
		Map<Rank, Long> byRank = new EnumMap<>(Rank.class);
		for (RankDemand demand : this.ranks) {
			if (pool.equals(demand.getPool()) && demand.getRank() >= 0 && demand.getRank() < Rank.values().length) {
				byRank.merge(Rank.values()[demand.getRank()], demand.getDemandCostPerS(), Long::sum);
			}
		}
		Map<String, Long> byOrganisation = new HashMap<>();
		for (OrganisationDemand demand : this.organisations) {
			if (pool.equals(demand.getPool()) && demand.getOrganisation() != null) {
				byOrganisation.merge(demand.getOrganisation(), demand.getDemandCostPerS(), Long::sum);
			}
		}
		return new HostDemand(this.hostId, byRank, byOrganisation, this.receivedAtMs);
	}

}
