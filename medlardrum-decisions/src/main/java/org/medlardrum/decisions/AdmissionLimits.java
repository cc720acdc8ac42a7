package org.medlardrum.decisions;

import java.util.Map;

import org.medlardrum.state.Rank;

/**
 * Admission limits of one pool on this host.
 *
 * @param windowSlots size of the concurrency window: work items that may run at the same
 * time, at least 1
 * @param costPerS cost that this host's share of the pool completes in a second
 * @param ranks limits by rank; a missing rank has no floor and a wait limit of 1 s
 * @param organisationWeights fair-queueing weights by organisation; a missing or
 * non-positive one counts as 1
 */
public record AdmissionLimits(int windowSlots, double costPerS, Map<Rank, RankLimits> ranks,
		Map<String, Double> organisationWeights) {

	private static final RankLimits DEFAULT_RANK = new RankLimits(0, 1000);

	public AdmissionLimits {
		if (windowSlots < 1) {
			throw new IllegalArgumentException("Concurrency window has " + windowSlots + " slots; it needs at least 1");
		}
		if (!(costPerS > 0)) {
			throw new IllegalArgumentException("Cost per second is " + costPerS + "; it must be positive");
		}
		ranks = Map.copyOf(ranks);
		organisationWeights = Map.copyOf(organisationWeights);
	}

	RankLimits rank(Rank rank) {
		return this.ranks.getOrDefault(rank, DEFAULT_RANK);
	}

	double weight(String organisation) {
		double weight = this.organisationWeights.getOrDefault(organisation, 1.0);
		return (weight > 0) ? weight : 1.0;
	}

}
