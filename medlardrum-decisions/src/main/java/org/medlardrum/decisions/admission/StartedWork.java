package org.medlardrum.decisions.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Work that each organisation, or each rank, started recently, with exponential decay.
 * Newer work is given a larger weight instead of older work a smaller one (forward decay:
 * Cormode et al., ICDE 2009), so the order of organisations does not change between
 * starts.
 */
final class StartedWork {

	// Weights grow by e for each time constant; they are scaled back long before they
	// exceed the range of a double.
	private static final double MAX_EXPONENT = 20;

	private static final double NEGLIGIBLE = 1e-6;

	private final double timeConstantMs;

	private final Map<String, Double> weights = new HashMap<>();

	private long landmarkMs = Long.MIN_VALUE;

	StartedWork(long timeConstantMs) {
		this.timeConstantMs = timeConstantMs;
	}

	void add(String organisation, double work, long nowMs) {
		this.weights.merge(organisation, work * weightOfWork(nowMs), Double::sum);
	}

	// Returns the weight of an organisation, for comparison with others. An organisation
	// that has started nothing has the weight 0.
	double weight(String organisation) {
		return this.weights.getOrDefault(organisation, 0.0);
	}

	// Returns the weight that one unit of work adds if it starts now.
	double weightOfWork(long nowMs) {
		if (this.landmarkMs == Long.MIN_VALUE) {
			this.landmarkMs = nowMs;
		}
		double exponent = (nowMs - this.landmarkMs) / this.timeConstantMs;
		if (exponent > MAX_EXPONENT) {
			double factor = StrictMath.exp(-exponent);
			this.weights.replaceAll((organisation, weight) -> weight * factor);
			this.weights.values().removeIf((weight) -> weight < NEGLIGIBLE);
			this.landmarkMs = nowMs;
			exponent = 0;
		}
		return StrictMath.exp(exponent);
	}

	// Returns by how much the organisation's share of all started work exceeds an equal
	// share among the organisations that started any.
	double excessShare(String organisation) {
		double all = 0;
		for (double weight : this.weights.values()) {
			all += weight;
		}
		return (all > 0) ? weight(organisation) / all - 1.0 / this.weights.size() : 0;
	}

}
