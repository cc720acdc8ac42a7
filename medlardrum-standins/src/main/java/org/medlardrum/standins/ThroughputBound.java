package org.medlardrum.standins;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Upper bounds of the throughput of a set of engines, in tokens per second. The cost of
 * prefill, links and scheduling is not included.
 *
 * <p>
 * With whole ranges, an engine runs all of its layers for each token that it processes,
 * at {@code slots * 1,000,000 / (layerTimeUs * number of its layers)} tokens per second.
 * The bound is the minimum over all layers of the summed rates of the engines that hold
 * the layer.
 *
 * <p>
 * With split ranges, an engine may run any subset of its layers for a token, and so add
 * capacity to the layers that have the least. The bound is then the largest rate
 * {@code T} at which every set of layers needs at most as many layer steps per second
 * ({@code T} for each layer) as the engines that hold at least one layer of the set can
 * run ({@code slots * 1,000,000 / layerTimeUs} each). Both bounds are equal when any two
 * ranges are either equal or disjoint.
 */
public final class ThroughputBound {

	private static final int BISECTION_STEPS = 60;

	private ThroughputBound() {
	}

	/**
	 * Returns the bound for engines that run all of their layers for each token.
	 * @param engines settings of the engines of one model
	 * @param layerCount number of layers of the model
	 * @return tokens per second, 0 if no engine holds one of the layers
	 */
	public static double wholeRanges(Collection<EngineSettings> engines, int layerCount) {
		double bound = Double.POSITIVE_INFINITY;
		for (int layer : layerBoundaries(engines, layerCount).headSet(layerCount)) {
			bound = Math.min(bound,
					engines.stream()
						.filter((engine) -> engine.fromLayer() <= layer && layer < engine.toLayer())
						.mapToDouble(EngineSettings::tokensPerS)
						.sum());
		}
		return bound;
	}

	/**
	 * Returns the bound for engines that may run any subset of their layers for a token.
	 * @param engines settings of the engines of one model
	 * @param layerCount number of layers of the model
	 * @return tokens per second, 0 if no engine holds one of the layers
	 */
	public static double splitRanges(Collection<EngineSettings> engines, int layerCount) {
		List<Integer> boundaries = List.copyOf(layerBoundaries(engines, layerCount));
		double total = engines.stream().mapToDouble(ThroughputBound::layerStepsPerS).sum();
		double low = 0;
		double high = total / layerCount;
		for (int step = 0; step < BISECTION_STEPS; step++) {
			double middle = (low + high) / 2;
			if (largestSurplus(engines, boundaries, middle) <= total - middle * layerCount + total * 1e-12) {
				low = middle;
			}
			else {
				high = middle;
			}
		}
		return low;
	}

	// Finds the set of layers with the least spare capacity by dynamic programming over
	// the layer boundaries. The engines that can serve a set are all engines except those
	// whose range lies within a gap of the set. The critical set therefore leaves out the
	// gaps where the capacity of those engines exceeds the demand of the gap the most.
	// Returns the sum of these surpluses, in layer steps per second.
	private static double largestSurplus(Collection<EngineSettings> engines, List<Integer> boundaries,
			double tokensPerS) {
		double[] bestSurplus = new double[boundaries.size()];
		for (int end = 1; end < boundaries.size(); end++) {
			bestSurplus[end] = bestSurplus[end - 1];
			for (int start = 0; start < end; start++) {
				int fromLayer = boundaries.get(start);
				int toLayer = boundaries.get(end);
				double capacity = engines.stream()
					.filter((engine) -> engine.fromLayer() >= fromLayer && engine.toLayer() <= toLayer)
					.mapToDouble(ThroughputBound::layerStepsPerS)
					.sum();
				bestSurplus[end] = Math.max(bestSurplus[end],
						bestSurplus[start] + capacity - tokensPerS * (toLayer - fromLayer));
			}
		}
		return bestSurplus[boundaries.size() - 1];
	}

	private static TreeSet<Integer> layerBoundaries(Collection<EngineSettings> engines, int layerCount) {
		TreeSet<Integer> boundaries = new TreeSet<>(List.of(0, layerCount));
		engines.forEach((engine) -> boundaries.addAll(List.of(engine.fromLayer(), engine.toLayer())));
		return boundaries;
	}

	private static double layerStepsPerS(EngineSettings engine) {
		return engine.slots() * 1e6 / engine.layerTimeUs();
	}

}
