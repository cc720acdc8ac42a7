package org.medlardrum.decisions;

import java.util.Map;

import org.medlardrum.state.Rank;

/**
 * Demand that one entry host has seen for a pool.
 *
 * @param hostId id of the host
 * @param demandCostPerS offered cost per second by rank
 * @param organisationDemandCostPerS offered cost per second of the heaviest organisations
 * @param receivedAtMs clock reading of this host when it heard the demand, in
 * milliseconds
 */
public record HostDemand(String hostId, Map<Rank, Long> demandCostPerS, Map<String, Long> organisationDemandCostPerS,
		long receivedAtMs) {

	public HostDemand {
		demandCostPerS = Map.copyOf(demandCostPerS);
		organisationDemandCostPerS = Map.copyOf(organisationDemandCostPerS);
	}

	long totalCostPerS() {
		long total = 0;
		for (long demand : this.demandCostPerS.values()) {
			total += demand;
		}
		return total;
	}

}
