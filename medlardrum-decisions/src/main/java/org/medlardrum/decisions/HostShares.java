package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * This host's share of a pool, computed from a sample of the entry hosts' demands. The
 * demand of all hosts is estimated as the mean of the sample times the number of live
 * hosts, so no complete table of hosts is needed. The pool is first divided among
 * organisations by weighted max-min fairness; a host's share is in proportion to what its
 * requests are allocated, so that a host flooded by one organisation does not take the
 * concurrency windows of the other hosts. <pre>{@code
 * HostShares shares = HostShares.of(ownHostId, gossip.demands(pool), liveHosts, weights, poolCostPerS);
 * int windowSlots = (int) Math.max(1, poolSlots * shares.windowShare());
 * }</pre>
 */
public final class HostShares {

	// Key for all organisations that a host's demand does not list; no organisation has
	// this name.
	private static final String UNLISTED = "";

	// Smallest share of a host, relative to an equal share of the pool: a host without
	// demand keeps slots for requests that arrive later. The shares of all hosts can
	// therefore add up to more than 1.
	private static final double MIN_EQUAL_SHARE_RATIO = 0.5;

	private final int hosts;

	private final Map<String, Double> weights;

	private final Map<String, Double> totalDemand;

	private final Map<String, Double> ownDemand;

	private final FairShare fairShare;

	private final double windowShare;

	private HostShares(String ownHostId, Collection<HostDemand> demands, int hosts, Map<String, Double> weights,
			double poolCostPerS) {
		this.hosts = hosts;
		this.weights = weights;
		this.totalDemand = estimateTotalDemand(demands, hosts);
		this.fairShare = FairShare.of(weighted(this.totalDemand, weights), poolCostPerS);
		double allocationSum = 0;
		double ownAllocation = 0;
		Map<String, Double> own = Map.of();
		for (HostDemand demand : demands) {
			Map<String, Double> byOrganisation = byOrganisation(demand);
			double hostAllocation = fairAllocation(byOrganisation);
			allocationSum += hostAllocation;
			if (demand.hostId().equals(ownHostId)) {
				own = byOrganisation;
				ownAllocation = hostAllocation;
			}
		}
		this.ownDemand = own;
		double share = (allocationSum > 0) ? ownAllocation * demands.size() / (allocationSum * hosts) : 1.0 / hosts;
		this.windowShare = clamp(share);
	}

	/**
	 * Computes the shares.
	 * @param ownHostId identifier of this host
	 * @param demands sample of demands, including this host's own
	 * @param liveHosts number of live entry hosts in the directory
	 * @param organisationWeights weights of the configured organisations; a missing or
	 * non-positive one counts as 1
	 * @param poolCostPerS cost that the whole pool completes in a second
	 * @return the shares
	 */
	public static HostShares of(String ownHostId, Collection<HostDemand> demands, int liveHosts,
			Map<String, Double> organisationWeights, double poolCostPerS) {
		if (!(poolCostPerS > 0)) {
			throw new IllegalArgumentException(
					"Pool capacity is " + poolCostPerS + " cost per second; it must be positive");
		}
		return new HostShares(ownHostId, demands, Math.max(1, liveHosts), Map.copyOf(organisationWeights),
				poolCostPerS);
	}

	private static Map<String, Double> byOrganisation(HostDemand demand) {
		Map<String, Double> result = new HashMap<>();
		double unlisted = demand.totalCostPerS();
		for (Map.Entry<String, Long> entry : demand.organisationDemandCostPerS().entrySet()) {
			result.put(entry.getKey(), (double) entry.getValue());
			unlisted -= entry.getValue();
		}
		result.put(UNLISTED, Math.max(0, unlisted));
		return result;
	}

	private static Map<String, Double> estimateTotalDemand(Collection<HostDemand> demands, int hosts) {
		Map<String, Double> sums = new HashMap<>();
		for (HostDemand demand : demands) {
			byOrganisation(demand).forEach((organisation, cost) -> sums.merge(organisation, cost, Double::sum));
		}
		sums.replaceAll((organisation, cost) -> cost * hosts / demands.size());
		return sums;
	}

	private static List<FairShare.Demand> weighted(Map<String, Double> demand, Map<String, Double> weights) {
		// The unlisted organisations together have the weights of the configured
		// organisations that no sampled host lists, and at least the weight of one
		// organisation that is not configured.
		double unlistedWeight = 0;
		for (Map.Entry<String, Double> entry : weights.entrySet()) {
			unlistedWeight += (demand.containsKey(entry.getKey())) ? 0 : weight(entry.getKey(), weights);
		}
		List<FairShare.Demand> result = new ArrayList<>();
		for (Map.Entry<String, Double> entry : demand.entrySet()) {
			double weight = (entry.getKey().equals(UNLISTED)) ? Math.max(1, unlistedWeight)
					: weight(entry.getKey(), weights);
			result.add(new FairShare.Demand(entry.getKey(), weight, entry.getValue()));
		}
		return result;
	}

	private static double weight(String organisation, Map<String, Double> weights) {
		double weight = weights.getOrDefault(organisation, 1.0);
		return (weight > 0) ? weight : 1.0;
	}

	private double fairAllocation(Map<String, Double> hostDemand) {
		double allocation = 0;
		for (Map.Entry<String, Double> entry : hostDemand.entrySet()) {
			double total = this.totalDemand.get(entry.getKey());
			allocation += (total > 0) ? entry.getValue() * this.fairShare.allocation(entry.getKey()) / total : 0;
		}
		return allocation;
	}

	private double clamp(double share) {
		return Math.min(1, Math.max(share, MIN_EQUAL_SHARE_RATIO / this.hosts));
	}

	/**
	 * Returns the fraction of the pool's slots that this host may use.
	 * @return the fraction, from 1 / (2 × hosts) to 1
	 */
	public double windowShare() {
		return this.windowShare;
	}

	/**
	 * Returns the cost per second that an organisation is allowed on this host: the
	 * largest fair allocation of the organisation in the whole pool, times this host's
	 * fraction of the organisation's demand. The fraction has the same limits as
	 * {@link #windowShare}; it is 1 / hosts when no demand of the organisation is
	 * recorded. The values serve as weights in the host's admission queue.
	 * @param organisation name of the organisation
	 * @return the allowance, positive
	 */
	public double organisationCostPerS(String organisation) {
		double total = this.totalDemand.getOrDefault(organisation, 0.0);
		double hostFraction = 1.0 / this.hosts;
		if (total > 0) {
			hostFraction = clamp(this.ownDemand.getOrDefault(organisation, 0.0) / total);
		}
		return this.fairShare.level() * weight(organisation, this.weights) * hostFraction;
	}

}
