package org.medlardrum.decisions;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * This host's part of a pool, from a sample of the entry hosts' demands. The ratios need
 * no complete table: the fleet's demand is the mean demand of the sample times the number
 * of live hosts.
 */
public final class HostShares {

	private final double windowShare;

	private final Map<String, Double> organisationCostPerS;

	private final double unlistedCostPerS;

	private HostShares(double windowShare, Map<String, Double> organisationCostPerS, double unlistedCostPerS) {
		this.windowShare = windowShare;
		this.organisationCostPerS = organisationCostPerS;
		this.unlistedCostPerS = unlistedCostPerS;
	}

	/**
	 * Computes the shares.
	 * @param ownHostId id of this host
	 * @param demands sample of demands, with or without this host's own
	 * @param liveHosts number of live entry hosts in the directory
	 * @param organisationWeights share weights; a missing organisation has weight 1
	 * @param poolCostPerS cost that the whole pool completes in a second
	 * @return the shares
	 */
	public static HostShares of(String ownHostId, Collection<HostDemand> demands, int liveHosts,
			Map<String, Double> organisationWeights, double poolCostPerS) {
		int hosts = Math.max(1, liveHosts);
		long own = 0;
		double sum = 0;
		for (HostDemand demand : demands) {
			sum += demand.totalCostPerS();
			if (demand.hostId().equals(ownHostId)) {
				own = demand.totalCostPerS();
			}
		}
		double share = 1.0 / hosts;
		if (sum > 0) {
			share = own / (sum / demands.size() * hosts);
		}
		share = Math.min(1, Math.max(share, 0.5 / hosts));
		return new HostShares(share, new HashMap<>(), share * poolCostPerS);
	}

	/**
	 * Returns this host's part of the pool's slots.
	 * @return the part, from 1 / (2 × hosts) to 1
	 */
	public double windowShare() {
		return this.windowShare;
	}

	/**
	 * Returns the cost per second that an organisation is allowed on this host.
	 * @param organisation name of the organisation
	 * @return the allowance
	 */
	public double organisationCostPerS(String organisation) {
		return this.organisationCostPerS.getOrDefault(organisation, this.unlistedCostPerS);
	}

}
