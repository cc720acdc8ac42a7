package org.medlardrum.decisions.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against placements that leave an availability zone without a complete model,
 * exceed an engine's memory, or leave the layers of a failed engine uncovered.
 */
class LayerPlannerTests {

	private final List<PlacementServer> fleet = Pools.fleet();

	private final Map<String, LayerRange> plan = new LayerPlanner(Pools.POOL).plan(this.fleet);

	@Test
	void everyEngineHoldsLayersWithinItsMemory() {
		for (PlacementServer server : this.fleet) {
			LayerRange range = this.plan.get(server.id());
			assertWithMessage(server.id()).that(range).isNotNull();
			assertWithMessage(server.id()).that(range.length())
				.isAtMost(Pools.POOL.maxLayers(server.acceleratorKind()));
			assertWithMessage(server.id()).that(range.toLayer()).isAtMost(Pools.POOL.layers());
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "a", "b", "c" })
	void eachZoneServesAlone(String zone) {
		List<PoolServer> alone = Pools.placed(this.fleet, this.plan)
			.stream()
			.filter((server) -> server.availabilityZone().equals(zone))
			.toList();
		assertThat(new ChainSearch(Pools.snapshot(alone, Map.of())).find(new ChainRequest(772, 167, 0, zone)))
			.isPresent();
	}

	@Test
	void anyOneLostEngineLeavesAChainFromEachZone() {
		for (PlacementServer failed : this.fleet) {
			List<PoolServer> remaining = Pools.placed(this.fleet, this.plan)
				.stream()
				.filter((server) -> !server.id().equals(failed.id()))
				.toList();
			assertWithMessage("without " + failed.id())
				.that(new ChainSearch(Pools.snapshot(remaining, Map.of())).find(new ChainRequest(772, 167, 0, "a")))
				.isPresent();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "a", "b", "c" })
	void movingALayerNeverRaisesTheLeastFreeMemoryOfAChain(String zone) {
		List<String> chain = this.fleet.stream()
			.filter((server) -> server.availabilityZone().equals(zone))
			.map(PlacementServer::id)
			.toList();
		double least = chain.stream().mapToDouble((id) -> freeMbPerLayer(id, 0)).min().orElseThrow();
		for (String from : chain) {
			for (String to : chain) {
				double moved = chain.stream()
					.filter((id) -> !from.equals(to))
					.mapToDouble((id) -> freeMbPerLayer(id, (id.equals(from)) ? -1 : (id.equals(to)) ? 1 : 0))
					.min()
					.orElse(0);
				assertWithMessage(from + " to " + to).that(moved).isAtMost(least);
			}
		}
	}

	private double freeMbPerLayer(String id, int added) {
		PlacementServer server = this.fleet.stream().filter((any) -> any.id().equals(id)).findFirst().orElseThrow();
		int layers = this.plan.get(id).length() + added;
		return (server.acceleratorKind().memoryMb() - layers * Pools.POOL.layerMb()) / layers;
	}

	@Test
	void replacementTakesTheLayersOfTheLostEngine() {
		List<PlacementServer> held = new ArrayList<>();
		LayerRange gap = this.plan.get("l4-a-3");
		for (PlacementServer server : this.fleet) {
			boolean failed = server.id().equals("l4-a-3");
			held.add(new PlacementServer((failed) ? "new" : server.id(), server.address(), server.availabilityZone(),
					server.acceleratorKind(), (failed) ? Optional.empty() : Optional.of(this.plan.get(server.id())),
					server.slots()));
		}
		Map<String, LayerRange> repair = new LayerPlanner(Pools.POOL).plan(held);
		assertThat(repair.keySet()).containsExactly("new");
		LayerRange taken = repair.get("new");
		assertThat(taken.fromLayer()).isLessThan(gap.toLayer());
		assertThat(taken.toLayer()).isGreaterThan(gap.fromLayer());
	}

	/**
	 * Servers are replaced one after the other: if new engines took the layers that are
	 * scarce in other zones, their own zone would lose its chain.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "a", "b", "c" })
	void replacementsKeepEachZoneServing(String zone) {
		Map<String, PlacementServer> servers = new LinkedHashMap<>();
		this.fleet.forEach((server) -> servers.put(server.id(), holding(server, this.plan.get(server.id()))));
		int next = 0;
		for (PlacementServer old : this.fleet) {
			if (!old.availabilityZone().equals(zone)) {
				continue;
			}
			servers.remove(old.id());
			String id = "new-" + next++;
			servers.put(id, new PlacementServer(id, "10.0.1.1:" + next, zone, old.acceleratorKind(), Optional.empty(),
					old.slots()));
			for (int round = 0; round < 3; round++) {
				new LayerPlanner(Pools.POOL).plan(servers.values())
					.forEach((placed, range) -> servers.put(placed, holding(servers.get(placed), range)));
			}
			List<PoolServer> alone = servers.values()
				.stream()
				.filter((server) -> server.availabilityZone().equals(zone) && server.layers().isPresent())
				.map((server) -> new PoolServer(server.id(), server.address(), zone, server.acceleratorKind(),
						server.layers().get(), 134))
				.toList();
			assertWithMessage("after " + old.id())
				.that(new ChainSearch(Pools.snapshot(alone, Map.of())).find(new ChainRequest(772, 167, 0, zone)))
				.isPresent();
		}
	}

	@Test
	void redundantEngineMovesToAGap() {
		Map<String, PlacementServer> servers = new LinkedHashMap<>();
		this.fleet.forEach((server) -> servers.put(server.id(), holding(server, this.plan.get(server.id()))));
		LayerRange gap = this.plan.get("l4-a-3");
		servers.put("l4-a-3", holding(servers.get("l4-a-3"), this.plan.get("l4-a-4")));
		Map<String, LayerRange> moves = new LayerPlanner(Pools.POOL).plan(servers.values());
		assertThat(moves).hasSize(1);
		assertThat(moves.values()).containsExactly(gap);
		assertThat(moves.keySet().iterator().next()).isIn(List.of("l4-a-3", "l4-a-4"));
	}

	/**
	 * Guards against engines that join a zone whose only chain breaks with any engine and
	 * add slots for its first layers, while slots limit the zone. With two chains the
	 * slots come first.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 70", "2, 0" })
	void engineThatJoinsSecuresLayersOfOneEngineBeforeItAddsSlots(int chains, int fromLayer) {
		AcceleratorKind large = new AcceleratorKind("large", 400_000, 15, 8.2);
		AcceleratorKind small = new AcceleratorKind("small", 40_000, 15, 8.2);
		List<PlacementServer> servers = new ArrayList<>();
		for (int i = 0; i < chains; i++) {
			servers.add(engine("first-" + i, large, Optional.of(new LayerRange(0, 70))));
			servers.add(engine("last-" + i, small, Optional.of(new LayerRange(70, 80))));
		}
		servers.add(engine("new", small, Optional.empty()));
		assertThat(new LayerPlanner(Pools.POOL).plan(servers)).containsExactly("new",
				new LayerRange(fromLayer, fromLayer + 10));
	}

	private static PlacementServer engine(String id, AcceleratorKind kind, Optional<LayerRange> layers) {
		int fewSlots = 1;
		return new PlacementServer(id, "10.0.2.1:" + id, "a", kind, layers, fewSlots);
	}

	private static PlacementServer holding(PlacementServer server, LayerRange range) {
		return server.withLayers(Optional.of(range));
	}

	@Test
	void planIsTheSameForTheSameFleet() {
		assertThat(new LayerPlanner(Pools.POOL).plan(Pools.fleet())).isEqualTo(this.plan);
	}

}
