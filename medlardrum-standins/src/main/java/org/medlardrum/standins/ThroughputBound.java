package org.medlardrum.standins;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Upper bounds of a fleet's throughput in tokens per second. Prefill, links and
 * scheduling are left out.
 *
 * <p>
 * With whole ranges, each engine runs all its layers for each of its tokens, at
 * {@code slots * 1,000,000 / (layerTimeUs * layers held)} tokens per second. The bound is
 * the minimum over all layers of the summed rates of the engines that hold the layer.
 *
 * <p>
 * With split ranges, an engine may run any part of its layers and so help where others
 * are short. The bound is then the largest rate {@code T} for which no set of layers
 * needs more layer steps ({@code T} for each layer) than the engines that hold any of it
 * can run ({@code slots * 1,000,000 / layerTimeUs} each). Both bounds are equal when any
 * two ranges are either equal or disjoint.
 */
public final class ThroughputBound {

	private static final int BISECTION_STEPS = 60;

	private ThroughputBound() {
	}

	/**
	 * Returns the bound with whole ranges.
	 * @param engines settings of the engines of one model
	 * @param layerCount number of layers of the model
	 * @return tokens per second, 0 if a layer is held by no engine
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
	 * Returns the bound with split ranges.
	 * @param engines settings of the engines of one model
	 * @param layerCount number of layers of the model
	 * @return tokens per second, 0 if a layer is held by no engine
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

	// A set of layers S is short if the engines that touch it are. These are all engines
	// but those within the gaps between S, so that the worst S leaves out the gaps whose
	// own engines have the largest surplus over their need.
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
