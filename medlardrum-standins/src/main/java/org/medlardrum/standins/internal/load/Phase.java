package org.medlardrum.standins.internal.load;

import java.util.Map;

/**
 * A phase of a load schedule.
 *
 * @param name name of the phase, for the report
 * @param ratePerS arrivals per second before the multipliers apply
 * @param durationMs duration, in milliseconds
 * @param rankMultipliers factor for the arrivals of a rank, by wire name, default 1
 * @param organisationMultipliers factor for the arrivals of an organisation, by name,
 * default 1
 */
public record Phase(String name, double ratePerS, long durationMs, Map<String, Double> rankMultipliers,
		Map<String, Double> organisationMultipliers) {

	public Phase {
		if (ratePerS <= 0 || durationMs <= 0) {
			throw new IllegalArgumentException("Phase \"" + name + "\" needs a rate and a duration above 0");
		}
		rankMultipliers = (rankMultipliers != null) ? Map.copyOf(rankMultipliers) : Map.of();
		organisationMultipliers = (organisationMultipliers != null) ? Map.copyOf(organisationMultipliers) : Map.of();
	}

	double weight(MixRoute route) {
		return route.weight() * this.rankMultipliers.getOrDefault(route.rank().wireName(), 1.0)
				* this.organisationMultipliers.getOrDefault(route.organisation(), 1.0);
	}

}
