package org.medlardrum.decisions;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Weighted max-min fair division of a capacity (Bertsekas and Gallager, Data Networks,
 * section 6.5): a demand below the fair level times its weight is met in full, the others
 * are allocated the level times their weight.
 */
final class FairShare {

	private final Map<String, Double> allocations = new HashMap<>();

	private final double level;

	private FairShare(double level) {
		this.level = level;
	}

	static FairShare of(List<Demand> demands, double capacity) {
		double remainingWeight = 0;
		for (Demand demand : demands) {
			remainingWeight += demand.weight();
		}
		double remaining = capacity;
		double highestPerWeight = 0;
		double weightSum = remainingWeight;
		List<Demand> ascending = demands.stream().sorted(Comparator.comparingDouble(Demand::perWeight)).toList();
		for (Demand demand : ascending) {
			if (demand.perWeight() * remainingWeight > remaining) {
				return allocate(ascending, remaining / remainingWeight);
			}
			remaining -= demand.amount();
			remainingWeight -= demand.weight();
			highestPerWeight = demand.perWeight();
		}
		// All demands are met; the remaining capacity raises the level so that each of
		// them can grow.
		return allocate(ascending, highestPerWeight + remaining / Math.max(1, weightSum));
	}

	private static FairShare allocate(List<Demand> demands, double level) {
		FairShare share = new FairShare(level);
		for (Demand demand : demands) {
			share.allocations.put(demand.name(), Math.min(demand.amount(), level * demand.weight()));
		}
		return share;
	}

	// Returns the fair level: the largest allocation for a demand with weight 1.
	double level() {
		return this.level;
	}

	double allocation(String name) {
		return this.allocations.getOrDefault(name, 0.0);
	}

	/**
	 * One demand on the capacity.
	 *
	 * @param name unique name
	 * @param weight weight in the division, positive
	 * @param amount requested amount
	 */
	record Demand(String name, double weight, double amount) {

		double perWeight() {
			return this.amount / this.weight;
		}

	}

}
