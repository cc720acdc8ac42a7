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

	private static void add(List<PlacementServer> zone, AcceleratorKind kind, int count) {
		for (int i = 0; i < count; i++) {
			zone.add(new PlacementServer(kind.name() + i, "", "a", kind, Optional.empty(), Pools.SLOTS));
		}
	}

}
