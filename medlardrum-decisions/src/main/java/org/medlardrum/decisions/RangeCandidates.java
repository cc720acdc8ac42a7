package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.medlardrum.state.EngineState;
import org.medlardrum.state.LayerRange;

/**
 * Groups usable engines by held range and availability zone, and samples one candidate
 * from each group by the power of two choices.
 */
final class RangeCandidates {

	private final Map<Long, Group> groups = new LinkedHashMap<>();

	private final int layerCount;

	private final RandomGenerator random;

	private double slots;

	RangeCandidates(int layerCount, RandomGenerator random) {
		this.layerCount = layerCount;
		this.random = random;
	}

	void add(EngineState engine, int zone, double layerUs, double stageUs) {
		int from = engine.report().fromLayer();
		int to = Math.min(engine.report().toLayer(), this.layerCount);
		long key = ((long) zone * (this.layerCount + 1) + from) * (this.layerCount + 1) + to;
		Group group = this.groups.get(key);
		if (group == null) {
			group = new Group(zone, new LayerRange(from, to));
			this.groups.put(key, group);
		}
		group.add(engine, layerUs, stageUs, this.random);
		this.slots += Math.max(1, engine.report().slots());
	}

	// Returns one candidate for each group, with random noise on its cost. The noise
	// makes the choice of the cheapest group a weighted sample (the Gumbel-max method
	// on the logarithm of the cost): its probability is proportional to slots ×
	// cost^(-1/temperature). Without the slots, a range that few engines hold would
	// receive as many requests as one that many engines hold.
	List<RangeCandidate> sample(double temperature) {
		List<RangeCandidate> sampled = new ArrayList<>(this.groups.size());
		double meanSlots = this.slots / Math.max(1, this.groups.size());
		for (Group group : this.groups.values()) {
			double exponential = -StrictMath.log(1 - this.random.nextDouble()) + Double.MIN_NORMAL;
			double noise = StrictMath.exp(temperature * StrictMath.log(exponential * meanSlots / group.slots));
			sampled.add(group.cheaper().withNoise(noise));
		}
		return sampled;
	}

	// Keeps two independent samples, drawn in one pass with probability proportional to
	// 1 / cost² (weighted reservoir sampling, Chao 1982).
	private static final class Group {

		private final int zone;

		private final LayerRange layers;

		private RangeCandidate firstSample;

		private RangeCandidate secondSample;

		private double weightSum;

		private double slots;

		Group(int zone, LayerRange layers) {
			this.zone = zone;
			this.layers = layers;
		}

		void add(EngineState engine, double layerUs, double stageUs, RandomGenerator random) {
			double costUs = stageUs + layerUs * this.layers.length();
			double weight = 1 / (costUs * costUs);
			this.weightSum += weight;
			this.slots += Math.max(1, engine.report().slots());
			double probability = weight / this.weightSum;
			boolean replaceFirst = this.firstSample == null || random.nextDouble() < probability;
			boolean replaceSecond = this.secondSample == null || random.nextDouble() < probability;
			if (replaceFirst || replaceSecond) {
				RangeCandidate candidate = new RangeCandidate(engine, this.zone, this.layers, layerUs, stageUs, 1);
				this.firstSample = (replaceFirst) ? candidate : this.firstSample;
				this.secondSample = (replaceSecond) ? candidate : this.secondSample;
			}
		}

		RangeCandidate cheaper() {
			return (this.firstSample.costUs() <= this.secondSample.costUs()) ? this.firstSample : this.secondSample;
		}

	}

}
