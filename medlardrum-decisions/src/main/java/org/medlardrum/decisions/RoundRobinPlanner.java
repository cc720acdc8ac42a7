package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import org.medlardrum.state.Chain;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.EngineState;
import org.medlardrum.state.FleetSnapshot;
import org.medlardrum.state.Stage;

/**
 * Baseline for benchmarks: uses the usable engines in turn, regardless of their speed,
 * load or availability zone. Thread-safe.
 */
public final class RoundRobinPlanner implements ChainPolicy {

	private static final long RETRY_AFTER_MS = 1000;

	private final AtomicInteger turn = new AtomicInteger();

	@Override
	public ChainDecision plan(ChainQuery query, FleetSnapshot fleet, RandomGenerator random) {
		List<EngineState> usable = fleet.engines()
			.stream()
			.filter((engine) -> EngineFilter.reject(engine, query) == null)
			.toList();
		List<Stage> stages = new ArrayList<>();
		int layer = 0;
		while (layer < query.layerCount()) {
			EngineState engine = next(usable, layer);
			if (engine == null) {
				return new ChainDecision.NoChain("no usable engine continues at layer " + layer, RETRY_AFTER_MS,
						List.of());
			}
			int toLayer = Math.min(engine.report().toLayer(), query.layerCount());
			stages.add(new Stage(engine.server().id(), engine.server().address(), layer, toLayer));
			layer = toLayer;
		}
		return new ChainDecision.Chosen(new Chain(stages), List.of());
	}

	private EngineState next(List<EngineState> usable, int layer) {
		int first = this.turn.getAndIncrement() & Integer.MAX_VALUE;
		for (int i = 0; i < usable.size(); i++) {
			EngineState engine = usable.get((first + i) % usable.size());
			EngineReport report = engine.report();
			if (report.fromLayer() <= layer && report.toLayer() > layer) {
				return engine;
			}
		}
		return null;
	}

}
