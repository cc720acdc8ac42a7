package org.medlardrum.decisions;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Weighted max-min fair division of a capacity (Bertsekas and Gallager, Data Networks,
 * section 6.5): demands below the fair level are met in full, the others get the level
 * times their weight.
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
		// All demands are met: the level leaves room for each of them to grow.
		return allocate(ascending, highestPerWeight + remaining / Math.max(1, weightSum));
	}

	private static FairShare allocate(List<Demand> demands, double level) {
		FairShare share = new FairShare(level);
		for (Demand demand : demands) {
			share.allocations.put(demand.name(), Math.min(demand.amount(), level * demand.weight()));
		}
		return share;
	}

	// Returns the largest allocation of a demand with weight 1.
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
	 * @param weight share weight, positive
	 * @param amount wanted amount
	 */
	record Demand(String name, double weight, double amount) {

		double perWeight() {
			return this.amount / this.weight;
		}

	}

}
