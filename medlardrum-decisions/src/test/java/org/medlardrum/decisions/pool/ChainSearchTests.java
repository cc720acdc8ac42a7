package org.medlardrum.decisions.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against chains that skip or repeat layers, against all requests going to the
 * fast chain, and against less urgent requests taking the capacity of urgent ones.
 */
class ChainSearchTests {

	private static final int TOKENS = 772 + 167;

	private final List<PlacementServer> fleet = Pools.fleet();

	private final List<PoolServer> servers = Pools.placed(this.fleet, new LayerPlanner(Pools.POOL).plan(this.fleet));

	private static void assertCovers(List<ChainHop> chain) {
		int next = 0;
		for (ChainHop hop : chain) {
			assertThat(hop.layers().fromLayer()).isEqualTo(next);
			assertThat(hop.server().layers().contains(hop.layers())).isTrue();
			next = hop.layers().toLayer();
		}
		assertThat(next).isEqualTo(Pools.POOL.layers());
		assertThat(chain.stream().map((hop) -> hop.server().id()).distinct().count()).isEqualTo(chain.size());
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void everyChainRunsEachLayerOnce(long seed) {
		Random random = new Random(seed);
		for (int round = 0; round < 40; round++) {
			List<PoolServer> some = this.servers.stream().filter((server) -> random.nextInt(10) > 0).toList();
			Optional<List<ChainHop>> chain = new ChainSearch(Pools.snapshot(some, Map.of()))
				.find(new ChainRequest(772, 167, random.nextInt(3), "b"));
			chain.ifPresent(ChainSearchTests::assertCovers);
		}
	}

	/**
	 * A pool of the size that the users plan for. Suspicions are looked up once for each
	 * zone and engine, not at each layer.
	 */
	@Test
	void eachEngineIsCheckedOnceForEachZone() {
		List<PoolServer> many = new ArrayList<>();
		for (int copy = 0; copy < 10; copy++) {
			for (PoolServer server : this.servers) {
				many.add(new PoolServer(server.id() + '-' + copy, server.address(), server.availabilityZone(),
						server.acceleratorKind(), server.layers(), server.slots()));
			}
		}
		AtomicInteger checks = new AtomicInteger();
		ChainSearch search = new ChainSearch(
				new PoolSnapshot(Pools.POOL, many, Map.of(), (zone, server) -> checks.incrementAndGet() < 0));
		search.find(new ChainRequest(772, 167, 0, "b")).orElseThrow();
		long zones = many.stream().map(PoolServer::availabilityZone).distinct().count();
		assertThat((long) checks.get()).isAtMost(zones * many.size());
	}

	@Test
	void overlappingRangesAreSplitWhereTheNextEngineStarts() {
		PoolServer slow = new PoolServer("slow", "10.0.0.1:1", "a", Pools.L4, new LayerRange(0, 60), 10);
		PoolServer fast = new PoolServer("fast", "10.0.0.1:2", "a", Pools.H100, new LayerRange(20, 80), 10);
		// Both ranges exceed the engines' memory; the test needs only the ranges.
		ChainSearch search = new ChainSearch(
				new PoolSnapshot(Pools.POOL, List.of(slow, fast), Map.of(), (zone, server) -> false));
		List<ChainHop> chain = search.find(new ChainRequest(100, 10, 0, "a"), Double.MAX_VALUE).orElseThrow();
		assertThat(chain.getFirst().layers()).isEqualTo(new LayerRange(0, 20));
		assertCovers(chain);
	}

	/**
	 * When a chain fails, all its streams fail over at the same moment. Without a
	 * preferred zone each host would send them to the same chain, where their prefills
	 * queue.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "a", "b", "c" })
	void preferredZoneDecidesAmongIdleChains(String zone) {
		ChainRequest request = new ChainRequest(772, 167, 0, "b").preferring(zone);
		List<ChainHop> chain = new ChainSearch(Pools.snapshot(this.servers, Map.of())).find(request).orElseThrow();
		assertCovers(chain);
		chain.forEach((hop) -> assertThat(hop.server().availabilityZone()).isEqualTo(zone));
	}

	/**
	 * Long-lived requests arrive in one zone: without a cost of cache utilisation all of
	 * them take that zone's chain until it is full.
	 */
	@Test
	void arrivalsOfOneZoneSpreadOverAllZones() {
		Map<String, ServerLoad> loads = new HashMap<>();
		for (int i = 0; i < 300; i++) {
			List<ChainHop> chain = new ChainSearch(Pools.snapshot(this.servers, loads))
				.find(new ChainRequest(772, 167, i % 3, "a"))
				.orElseThrow();
			reserve(loads, chain);
		}
		for (PoolServer server : this.servers) {
			double utilisation = Pools.snapshot(this.servers, loads).utilisation(server, 0);
			assertWithMessage(server.id()).that(utilisation).isAtMost(ChainSearch.MAX_UTILISATION);
			assertWithMessage(server.id()).that(utilisation).isAtLeast(0.2);
		}
	}

	@Test
	void urgentRequestFindsCapacityAfterAFloodOfBackgroundRequests() {
		Map<String, ServerLoad> loads = new HashMap<>();
		Optional<List<ChainHop>> chain = findForBackground(loads);
		while (chain.isPresent()) {
			reserve(loads, chain.get());
			chain = findForBackground(loads);
		}
		assertThat(new ChainSearch(Pools.snapshot(this.servers, loads)).find(new ChainRequest(772, 167, 0, "a")))
			.isPresent();
	}

	private Optional<List<ChainHop>> findForBackground(Map<String, ServerLoad> loads) {
		return new ChainSearch(Pools.snapshot(this.servers, loads)).find(new ChainRequest(772, 167, 2, "a"));
	}

	/**
	 * Guards against an urgent class that is short of slots: less urgent streams took all
	 * slots of the first engines while the KV cache was nearly empty.
	 */
	@Test
	void urgentRequestFindsAFirstEngineAfterAFloodOfBackgroundRequests() {
		Map<String, Integer> firstRequests = new HashMap<>();
		ChainRequest background = new ChainRequest(772, 167, 2, "a");
		Optional<List<ChainHop>> chain = searchWithFirstRequests(firstRequests).find(background);
		while (chain.isPresent()) {
			firstRequests.merge(chain.get().getFirst().server().id(), 1, Integer::sum);
			chain = searchWithFirstRequests(firstRequests).find(background);
		}
		for (int i = 0; i < Pools.SLOTS / 10; i++) {
			List<ChainHop> urgent = searchWithFirstRequests(firstRequests).find(new ChainRequest(772, 167, 0, "a"))
				.orElseThrow();
			firstRequests.merge(urgent.getFirst().server().id(), 1, Integer::sum);
		}
	}

	/**
	 * Guards against second chains for slow streams while the first engines are short of
	 * slots: only the KV cache counted as room, and each second chain took a slot.
	 */
	@Test
	void poolWithoutSpareSlotsHasNoSpareChain() {
		Map<String, Integer> firstRequests = new HashMap<>();
		this.servers.forEach((server) -> firstRequests.put(server.id(), Pools.SLOTS * 3 / 4));
		ChainRequest request = new ChainRequest(772, 167, 0, "a");
		assertThat(searchWithFirstRequests(firstRequests).find(request)).isPresent();
		assertThat(searchWithFirstRequests(firstRequests).find(request, StreamLimits.SLOW_FAILOVER_MAX_UTILISATION))
			.isEmpty();
	}

	/**
	 * Guards against a first engine that is short of slots while another one of its zone
	 * has most of them free.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2 })
	void streamsSpreadOverTheFirstEnginesOfAZone(int rank) {
		AcceleratorKind rest = new AcceleratorKind("rest", 1_000_000, 15, 8.2);
		List<PoolServer> engines = List.of(
				new PoolServer("fast", "10.0.0.1:1", "a", Pools.A100S, new LayerRange(0, 6), Pools.SLOTS),
				new PoolServer("slow", "10.0.0.1:2", "a", Pools.L4, new LayerRange(0, 6), Pools.SLOTS),
				new PoolServer("rest", "10.0.0.1:3", "a", rest, new LayerRange(6, 80), Pools.SLOTS));
		Map<String, ServerLoad> loads = new HashMap<>();
		for (int i = 0; i < Pools.SLOTS; i++) {
			String id = new ChainSearch(Pools.snapshot(engines, loads)).find(new ChainRequest(772, 167, rank, "a"))
				.orElseThrow()
				.getFirst()
				.server()
				.id();
			loads.merge(id, new ServerLoad(0, 1, 1), ServerLoad::plus);
		}
		double leastUrgentMayTake = Pools.SLOTS * ChainSearch.maxUtilisation(2);
		assertThat((double) loads.get("fast").headSequences()).isAtMost(leastUrgentMayTake);
	}

	private ChainSearch searchWithFirstRequests(Map<String, Integer> firstRequests) {
		Map<String, ServerLoad> loads = new HashMap<>();
		firstRequests.forEach((id, count) -> loads.put(id, new ServerLoad(0, count, count)));
		return new ChainSearch(Pools.snapshot(this.servers, loads));
	}

	/**
	 * Under a light load, chains that cross zones five times each saturate the links
	 * between zones.
	 */
	@Test
	void chainsStayWithinAZoneWhileItHasFreeCapacity() {
		Map<String, ServerLoad> loads = new HashMap<>();
		for (int i = 0; i < 150; i++) {
			List<ChainHop> chain = new ChainSearch(Pools.snapshot(this.servers, loads))
				.find(new ChainRequest(772, 167, i % 3, List.of("a", "b", "c").get(i % 3)))
				.orElseThrow();
			assertThat(chain.stream().map((hop) -> hop.server().availabilityZone()).distinct().count()).isEqualTo(1);
			reserve(loads, chain);
		}
	}

	@Test
	void excludedEnginesAreNotUsed() {
		PoolSnapshot snapshot = new PoolSnapshot(Pools.POOL, this.servers, Map.of(),
				(zone, server) -> server.id().equals("h100-c-0"));
		List<ChainHop> chain = new ChainSearch(snapshot).find(new ChainRequest(772, 167, 0, "c")).orElseThrow();
		assertThat(chain.stream().map((hop) -> hop.server().id()).toList()).doesNotContain("h100-c-0");
	}

	private static void reserve(Map<String, ServerLoad> loads, List<ChainHop> chain) {
		for (ChainHop hop : chain) {
			loads.merge(hop.server().id(), new ServerLoad((long) TOKENS * hop.layers().length(), 1, 0),
					ServerLoad::plus);
		}
	}

}
