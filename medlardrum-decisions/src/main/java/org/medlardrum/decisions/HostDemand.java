package org.medlardrum.decisions;

import java.util.Map;

import org.medlardrum.state.Rank;

/**
 * Demand for a pool as measured by one entry host.
 *
 * @param hostId identifier of the host
 * @param demandCostPerS offered cost per second, by rank
 * @param organisationDemandCostPerS offered cost per second of the organisations with the
 * highest demand
 * @param receivedAtMs time at which this host received the demand, on its own clock, in
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
