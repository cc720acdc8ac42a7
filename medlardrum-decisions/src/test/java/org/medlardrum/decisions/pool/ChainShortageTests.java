package org.medlardrum.decisions.pool;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.state.LayerRange;

import static com.google.common.truth.Truth.assertThat;

class ChainShortageTests {

	/**
	 * Guards against refusals that do not tell which resource is used up, so that a lack
	 * of slots at first engines looks like a lack of memory or of layers.
	 */
	@ParameterizedTest
	@CsvSource({ "0, 134, FIRST_ENGINES", "1, 1, KV_CACHE", "1, 134, KV_CACHE" })
	void namesTheResourceThatIsUsedUp(double cacheUtilisation, int firstRequests, CapacityLimit expected) {
		List<PlacementServer> fleet = Pools.fleet();
		List<PoolServer> servers = Pools.placed(fleet, new LayerPlanner(Pools.POOL).plan(fleet));
		Map<String, ServerLoad> loads = servers.stream()
			.collect(Collectors.toMap(PoolServer::id, (server) -> load(server, cacheUtilisation, firstRequests)));
		ChainShortage shortage = ChainShortage.of(Pools.snapshot(servers, loads), new ChainRequest(772, 167, 0, "a"),
				ChainSearch.maxUtilisation(0));
		long first = servers.stream().filter((server) -> server.layers().fromLayer() == 0).count();
		assertThat(shortage)
			.isEqualTo(new ChainShortage(expected, (int) first * firstRequests, (int) first * Pools.SLOTS));
	}

	private static ServerLoad load(PoolServer server, double cacheUtilisation, int firstRequests) {
		long capacity = Pools.POOL.tokenLayerCapacity(server.acceleratorKind(), server.layers().length());
		return new ServerLoad((long) (capacity * cacheUtilisation), 1,
				(server.layers().fromLayer() == 0) ? firstRequests : 0);
	}

	/** Guards against a missing layer that is reported as a lack of capacity. */
	@ParameterizedTest
	@CsvSource({ "0, 0", "134, 134" })
	void namesMissingLayersBeforeLoad(int requests, int expectedRequests) {
		PoolServer first = new PoolServer("first", "", "a", Pools.T4, new LayerRange(0, 4), Pools.SLOTS);
		ChainShortage shortage = ChainShortage.of(
				Pools.snapshot(List.of(first), Map.of("first", new ServerLoad(0, requests, requests))),
				new ChainRequest(772, 167, 0, "a"), ChainSearch.maxUtilisation(0));
		assertThat(shortage).isEqualTo(new ChainShortage(CapacityLimit.LAYERS, expectedRequests, Pools.SLOTS));
	}

}
