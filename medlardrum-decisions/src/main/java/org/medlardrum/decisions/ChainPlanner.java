package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

import org.medlardrum.state.Chain;
import org.medlardrum.state.CircuitState;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.EngineState;
import org.medlardrum.state.FleetSnapshot;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.Stage;

/**
 * Chooses the engines that run the layers of a request.
 */
public final class ChainPlanner {

	private static final long RETRY_AFTER_MS = 1000;

	private final PrefixIndex prefixes;

	/**
	 * Creates a planner that ignores prompt caches.
	 */
	public ChainPlanner() {
		this(PrefixIndex.NONE);
	}

	/**
	 * Creates a planner.
	 * @param prefixes tells which engines have a prompt prefix in their cache
	 */
	public ChainPlanner(PrefixIndex prefixes) {
		this.prefixes = prefixes;
	}

	/**
	 * Chooses a chain.
	 * @param query the request
	 * @param fleet engines of the model's pool
	 * @param random random source
	 * @return the chain, or why there is none
	 */
	public ChainDecision plan(ChainQuery query, FleetSnapshot fleet, RandomGenerator random) {
		int layers = query.layerCount();
		double[] best = new double[layers + 1];
		Arrays.fill(best, Double.POSITIVE_INFINITY);
		best[0] = 0;
		EngineState[] via = new EngineState[layers + 1];
		int[] from = new int[layers + 1];
		List<EngineState> usable = fleet.engines().stream().filter((engine) -> usable(engine, query)).toList();
		for (int layer = 0; layer < layers; layer++) {
			for (EngineState engine : usable) {
				EngineReport report = engine.report();
				if (report.fromLayer() > layer || report.toLayer() <= layer || Double.isInfinite(best[layer])) {
					continue;
				}
				double load = (report.running() + report.queued() + engine.ownInFlight())
						/ (double) Math.max(1, report.slots());
				double layerUs = report.layerTimeUs() * (1 + load) * (1 + random.nextDouble() / 4);
				for (int to = layer + 1; to <= Math.min(layers, report.toLayer()); to++) {
					double cost = best[layer] + fleet.defaultLinkLatencyUs() + layerUs * (to - layer);
					if (cost < best[to]) {
						best[to] = cost;
						via[to] = engine;
						from[to] = layer;
					}
				}
			}
		}
		if (via[layers] == null) {
			return new ChainDecision.NoChain("no usable engines cover the model", RETRY_AFTER_MS, List.of());
		}
		List<Stage> stages = new ArrayList<>();
		List<CandidateScore> candidates = new ArrayList<>();
		for (int to = layers; to > 0; to = from[to]) {
			EngineState engine = via[to];
			stages.add(new Stage(engine.server().id(), engine.server().address(), from[to], to));
			candidates.add(new CandidateScore(engine.server().id(),
					new LayerRange(engine.report().fromLayer(), engine.report().toLayer()), best[to] - best[from[to]],
					"chosen"));
		}
		Collections.reverse(stages);
		return new ChainDecision.Chosen(new Chain(stages), candidates);
	}

	private static boolean usable(EngineState engine, ChainQuery query) {
		EngineReport report = engine.report();
		return report != null && !engine.leaving() && !report.leaving() && engine.circuit() != CircuitState.OPEN
				&& report.model().equals(query.model())
				&& (query.version().isEmpty() || query.version().equals(report.version()))
				&& !query.excludedServers().contains(engine.server().id())
				&& !(query.suspect() && engine.suspectFingerprints()
					.stream()
					.anyMatch((fingerprint) -> !fingerprint.equals(query.fingerprint())));
	}

}
