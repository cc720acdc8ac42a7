package org.medlardrum.decisions.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;
import org.medlardrum.state.routing.ModelPool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against zones that could hold a complete chain and do not, layouts that move
 * more layers than needed, moves while engines may still return or load, and engines with
 * more layers than fit into their memory.
 */
class LayerReviewTests {

	private static final AcceleratorKind FAST = new AcceleratorKind("fast", 36_000, 3.1, 3.2);

	private static final AcceleratorKind MEDIUM = new AcceleratorKind("medium", 21_600, 16, 8.2);

	private static final AcceleratorKind SLOW = new AcceleratorKind("slow", 14_400, 15, 15);

	private static final ModelPool POOL = new ModelPool("model", 80, 1_750, 469_970, 0.85, 0.00547, 0.00734, 196,
			14_000, Map.of("fast", FAST, "medium", MEDIUM, "slow", SLOW), Map.of(), 23_498, 4_300, 772, 138);

	private static final ZoneChange CALM = ZoneChange.NONE;

	private final ZoneLayout layouts = new ZoneLayout(POOL);

	private final LayerReview review = new LayerReview(POOL);

	private static List<PlacementServer> zone(String zone, int fast, int medium, int slow) {
		List<PlacementServer> servers = new ArrayList<>();
		for (int i = 0; i < fast + medium + slow; i++) {
			AcceleratorKind kind = (i < fast) ? FAST : (i < fast + medium) ? MEDIUM : SLOW;
			servers
				.add(new PlacementServer(zone + i, "10.0.0.1:" + zone + i, zone, kind, Optional.empty(), Pools.SLOTS));
		}
		return servers;
	}

	private List<PlacementServer> placed(List<PlacementServer> servers) {
		return LayerCoverage.withLayers(servers, this.layouts.layout(servers));
	}

	private static PlacementView view(Collection<PlacementServer> servers, Set<String> unconfirmed, ZoneChange change) {
		return new PlacementView(List.copyOf(servers), unconfirmed, Set.of(),
				servers.stream()
					.map(PlacementServer::availabilityZone)
					.distinct()
					.collect(Collectors.toMap((zone) -> zone, (zone) -> change)),
				change);
	}

	private Map<String, LayerRange> moves(Collection<PlacementServer> servers, ZoneChange change) {
		return this.review.review(view(servers, Set.of(), change)).moves();
	}

	private static List<PlacementServer> without(List<PlacementServer> servers, String... ids) {
		return servers.stream().filter((server) -> !Set.of(ids).contains(server.id())).toList();
	}

	// Mixes with 1.03 to 1.39 times the memory of the weights.
	@ParameterizedTest
	@CsvSource({ "4, 0, 0", "0, 0, 10", "1, 6, 2", "1, 2, 6", "0, 3, 6", "1, 3, 4", "1, 1, 7", "0, 6, 1" })
	void zoneWithLittleMemoryHoldsAChainWithCacheForEightRequests(int fast, int medium, int slow) {
		List<PlacementServer> servers = zone("a", fast, medium, slow);
		assertThat(this.layouts.isViable(servers)).isTrue();
		List<PlacementServer> placed = placed(servers);
		assertThat(LayerCoverage.of(POOL, placed).requests()).isAtLeast(8);
		for (PlacementServer server : placed) {
			server.layers()
				.ifPresent((range) -> assertWithMessage(server.id()).that(range.length() * POOL.layerMb())
					.isAtMost(server.acceleratorKind().memoryMb()));
		}
	}

	@ParameterizedTest
	@CsvSource({ "0, 0, 9", "1, 1, 5", "3, 1, 0", "0, 6, 0" })
	void zoneWithoutTheMemoryIsNotViable(int fast, int medium, int slow) {
		assertThat(this.layouts.isViable(zone("a", fast, medium, slow))).isFalse();
		assertThat(this.layouts.layout(zone("a", fast, medium, slow))).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "1999, 2500, false", "2000, 2500, true", "500, 5999, false", "500, 6000, true" })
	void firstPlacementWaitsForEnginesThatAreRegistering(long sinceAddedMs, long sinceFirstMs, boolean placed) {
		Map<String, LayerRange> moves = moves(zone("a", 1, 6, 2),
				new ZoneChange(sinceAddedMs, sinceFirstMs, Long.MAX_VALUE));
		assertThat(moves.isEmpty()).isEqualTo(!placed);
	}

	@ParameterizedTest
	@CsvSource({ "a0", "a3", "a6", "a8", "a10" })
	void lossChangesFewerLayersThanANewLayout(String lost) {
		List<PlacementServer> remaining = without(placed(zone("a", 1, 6, 4)), lost);
		Map<String, LayerRange> moves = moves(remaining, CALM);
		List<PlacementServer> after = LayerCoverage.withLayers(remaining, moves);
		Map<String, LayerRange> best = this.layouts.layout(remaining);
		assertThat(LayerCoverage.of(POOL, after).requests())
			.isAtLeast(0.9 * LayerCoverage.of(POOL, LayerCoverage.withLayers(remaining, best)).requests());
		assertThat(loaded(remaining, moves)).isAtMost(loaded(remaining, ZoneLayout.changes(remaining, best)));
		assertThat(moves(after, CALM)).isEmpty();
	}

	private static int loaded(List<PlacementServer> servers, Map<String, LayerRange> moves) {
		return servers.stream()
			.filter((server) -> moves.containsKey(server.id()))
			.mapToInt((server) -> ZoneLayout.loadedLayers(server, moves.get(server.id())))
			.sum();
	}

	@ParameterizedTest
	@CsvSource({ "999, false", "1000, true" })
	void zoneIsLaidOutAgainAfterALostEngineHadTimeToReturn(long sinceRemovedMs, boolean moved) {
		Map<String, LayerRange> moves = moves(without(placed(zone("a", 1, 6, 2)), "a3"),
				new ZoneChange(Long.MAX_VALUE, Long.MAX_VALUE, sinceRemovedMs));
		assertThat(moves.isEmpty()).isEqualTo(!moved);
	}

	@Test
	void emptyEngineTakesTheGapAtOnceAndAlone() {
		List<PlacementServer> servers = new ArrayList<>(without(placed(zone("a", 1, 6, 2)), "a3"));
		servers.add(new PlacementServer("new", "10.0.0.2:1", "a", MEDIUM, Optional.empty(), Pools.SLOTS));
		Map<String, LayerRange> moves = moves(servers, new ZoneChange(0, 0, 0));
		assertThat(moves.keySet()).containsExactly("new");
		assertThat(LayerCoverage.of(POOL, LayerCoverage.withLayers(servers, moves)).hasGap()).isFalse();
	}

	/**
	 * One chain through three zones stays only until the zones hold chains of their own.
	 */
	@Test
	void zoneThatGainsMostLeavesASharedChainFirst() {
		List<PlacementServer> servers = new ArrayList<>(zone("a", 1, 6, 2));
		servers.addAll(zone("b", 1, 6, 4));
		servers.addAll(zone("c", 1, 6, 3));
		List<PlacementServer> shared = sharedChain(servers);
		PlacementView.Result result = this.review.review(view(shared, Set.of(), CALM));
		assertThat(result.incompleteZones()).isEqualTo(3);
		assertThat(result.layouts()).hasSize(1);
		assertThat(result.layouts().get(0).zones()).containsExactly("b");
		List<PlacementServer> next = LayerCoverage.withLayers(shared, result.moves());
		PlacementView.Result loading = this.review.review(view(next, result.moves().keySet(), CALM));
		// The shared chain ended with the first move, so the other zones need not wait.
		assertThat(loading.layouts()).hasSize(2);
	}

	private static List<PlacementServer> sharedChain(List<PlacementServer> servers) {
		List<PlacementServer> shared = new ArrayList<>();
		int from = 0;
		for (int i = 0; i < servers.size(); i++) {
			int to = POOL.layers() * (i + 1) / servers.size();
			shared.addAll(LayerCoverage.withLayers(List.of(servers.get(i)),
					Map.of(servers.get(i).id(), new LayerRange(from, to))));
			from = to;
		}
		return shared;
	}

	@Test
	void completeZonesAreImprovedOneAtATime() {
		List<PlacementServer> servers = new ArrayList<>();
		for (String zone : List.of("a", "b")) {
			servers.addAll(placed(zone(zone, 1, 6, 0)));
			zone(zone, 1, 6, 6).stream()
				.skip(7)
				.forEach((server) -> servers
					.addAll(LayerCoverage.withLayers(List.of(server), Map.of(server.id(), new LayerRange(0, 7)))));
		}
		PlacementView.Result result = this.review.review(view(servers, Set.of(), CALM));
		assertThat(result.layouts()).hasSize(1);
		List<PlacementServer> next = LayerCoverage.withLayers(servers, result.moves());
		assertThat(this.review.review(view(next, result.moves().keySet(), CALM)).layouts()).isEmpty();
		assertThat(this.review.review(view(next, Set.of(), CALM)).layouts()).hasSize(1);
		assertThat(moves(servers, new ZoneChange(7_999, 7_999, Long.MAX_VALUE))).isEmpty();
	}

	@Test
	void noEngineWithLayersMovesWhileOthersOfItsZoneLoad() {
		List<PlacementServer> remaining = without(placed(zone("a", 1, 6, 2)), "a3");
		assertThat(this.review.review(view(remaining, Set.of("a5"), CALM)).moves()).isEmpty();
	}

	@Test
	void lossOfOneOfTwoChainsLeavesTheOtherUntouched() {
		List<PlacementServer> servers = placed(zone("a", 2, 22, 16));
		List<PlacementServer> remaining = without(servers, "a10");
		Map<String, LayerRange> moves = moves(remaining, CALM);
		assertThat(moves).isNotEmpty();
		assertThat(
				LayerCoverage.of(POOL, remaining.stream().filter((server) -> !moves.containsKey(server.id())).toList())
					.hasGap())
			.isFalse();
	}

	/**
	 * Prints the time of a review of 3,000 engines, which runs every 250 ms.
	 */
	@Test
	void reviewOf3000EnginesIsComplete() {
		List<PlacementServer> servers = new ArrayList<>();
		for (String zone : List.of("a", "b", "c")) {
			servers.addAll(zone(zone, 70, 420, 510));
		}
		for (int i = 0; i < 20; i++) {
			long startNs = System.nanoTime();
			Map<String, LayerRange> first = moves(servers, CALM);
			long firstNs = System.nanoTime();
			List<PlacementServer> placed = LayerCoverage.withLayers(servers, first);
			assertThat(moves(placed, CALM)).isEmpty();
			long steadyNs = System.nanoTime();
			List<PlacementServer> broken = placed.stream()
				.filter((server) -> !server.availabilityZone().equals("a") || server.layers().get().fromLayer() > 0)
				.toList();
			long beforeNs = System.nanoTime();
			Map<String, LayerRange> repair = moves(broken, CALM);
			long repairNs = System.nanoTime();
			assertThat(LayerCoverage.of(POOL, LayerCoverage.withLayers(broken, repair)).hasGap()).isFalse();
			if (i == 19) {
				System.out.printf("review of 3000 engines: first placement %.1f ms, steady %.1f ms, gap %.1f ms%n",
						(firstNs - startNs) / 1e6, (steadyNs - firstNs) / 1e6, (repairNs - beforeNs) / 1e6);
			}
		}
	}

}
