package org.medlardrum.decisions.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class ZoneLayoutTests {

	/**
	 * Guards against chains that are too long for the engines: a zone of 37 engines with
	 * memory for one large chain was laid out as a chain of 37 engines, and each request
	 * on it was answered with status 400. In the last case the memory does not suffice
	 * for two chains.
	 */
	@ParameterizedTest
	@CsvSource({ "2, 13, 22", "1, 22, 12", "4, 9, 14", "0, 0, 40", "1, 0, 32", "0, 1, 33" })
	void chainOfAZoneHasAtMost32Engines(int fast, int medium, int slow) {
		List<PlacementServer> zone = new ArrayList<>();
		add(zone, Pools.A100S, fast);
		add(zone, Pools.L4, medium);
		add(zone, Pools.T4, slow);
		Map<String, LayerRange> layout = new ZoneLayout(Pools.SCARCE_LINKS_POOL).layout(zone);
		List<PoolServer> engines = zone.stream()
			.filter((server) -> layout.containsKey(server.id()))
			.map((server) -> new PoolServer(server.id(), server.address(), "a", server.acceleratorKind(),
					layout.get(server.id()), 134))
			.toList();
		Optional<List<ChainHop>> chain = new ChainSearch(
				new PoolSnapshot(Pools.SCARCE_LINKS_POOL, engines, Map.of(), (from, server) -> false))
			.find(new ChainRequest(772, 138, 0, "a"));
		assertThat(chain).isPresent();
		assertThat(chain.get().size()).isAtMost(32);
	}

	/**
	 * Guards against a zone that is short of slots at first engines while most of its
	 * memory is free: one chain of 23 to 26 engines ran 134 streams at once, a third of
	 * what its callers asked and a fifth of what its KV cache held. The demand is that of
	 * the users' sheet, in streams per second with a surge of the least urgent class; the
	 * duration of a stream follows from the parameters of the pool.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 2, 14, 7, 62", "0, 3, 7, 15, 71", "1, 1, 9, 15, 63", "0, 2, 14, 7, 50", "0, 4, 9, 14, 68" })
	void zoneIsNotShortOfFirstEnginesForItsDemand(int largest, int fast, int medium, int slow, double demandPerS) {
		List<PlacementServer> zone = new ArrayList<>();
		add(zone, Pools.H100, largest);
		add(zone, Pools.A100S, fast);
		add(zone, Pools.L4, medium);
		add(zone, Pools.T4, slow);
		Map<String, LayerRange> layout = new ZoneLayout(Pools.GROWN_POOL).layout(zone);
		LayoutCapacity capacity = LayerCoverage.of(Pools.GROWN_POOL, LayerCoverage.withLayers(zone, layout)).capacity();
		double streams = demandPerS * durationMs(zone, layout) / 1_000;
		assertWithMessage(capacity + " for " + streams + " streams").that(capacity.requests()).isAtLeast(streams);
	}

	// Duration of a typical stream on one of the chains: the step times of its engines,
	// averaged over the holders of each layer, and a hop to each engine.
	private static double durationMs(List<PlacementServer> zone, Map<String, LayerRange> layout) {
		double layerTimes = 0;
		double holders = 0;
		for (PlacementServer server : zone) {
			LayerRange range = layout.get(server.id());
			if (range != null) {
				layerTimes += server.acceleratorKind().stepFactor() * range.length();
				holders += range.length();
			}
		}
		double hops = layout.size() / (holders / Pools.GROWN_POOL.layers());
		double tokenMs = layerTimes / holders * Pools.GROWN_POOL.stepMs() + hops * Pools.GROWN_POOL.delayMs("a", "a");
		return Pools.GROWN_POOL.meanGeneratedTokens() * tokenMs;
	}

	private static void add(List<PlacementServer> zone, AcceleratorKind kind, int count) {
		for (int i = 0; i < count; i++) {
			zone.add(new PlacementServer(kind.name() + i, "", "a", kind, Optional.empty(), Pools.SLOTS));
		}
	}

}
