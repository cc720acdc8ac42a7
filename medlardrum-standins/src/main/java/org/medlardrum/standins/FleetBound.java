package org.medlardrum.standins;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Upper bound of a fleet's throughput. Every token passes each layer once, so that the
 * engines that hold layer {@code l} together run at most the sum of their rates:
 *
 * <pre>
 * bound = min over layers l of ( sum over engines e that hold l of
 *         slots(e) * 1,000,000 / (layerTimeUs(e) * layers(e)) )
 * </pre>
 *
 * in tokens per second. Prefill, links and scheduling are left out. The bound assumes
 * that an engine runs its whole range for each token; an engine that runs a part of its
 * range for a token takes less time, so a planner that splits ranges can exceed it.
 */
public final class FleetBound {

	private FleetBound() {
	}

	/**
	 * Returns the bound of engines that hold parts of one model.
	 * @param engines settings of the engines
	 * @param layerCount number of layers of the model
	 * @return tokens per second, 0 if a layer is held by no engine
	 */
	public static double tokensPerS(Collection<EngineSettings> engines, int layerCount) {
		TreeSet<Integer> cuts = new TreeSet<>(List.of(0));
		engines.forEach((engine) -> cuts.addAll(List.of(engine.fromLayer(), engine.toLayer())));
		double bound = Double.POSITIVE_INFINITY;
		for (int layer : cuts.headSet(layerCount)) {
			bound = Math.min(bound,
					engines.stream()
						.filter((engine) -> engine.fromLayer() <= layer && layer < engine.toLayer())
						.mapToDouble(EngineSettings::tokensPerS)
						.sum());
		}
		return bound;
	}

}
