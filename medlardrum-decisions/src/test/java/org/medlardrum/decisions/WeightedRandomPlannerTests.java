package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.medlardrum.state.CircuitState;
import org.medlardrum.state.EngineState;
import org.medlardrum.state.FleetSnapshot;
import org.medlardrum.state.LinkState;
import org.medlardrum.state.Stage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against chains that skip or repeat layers, use unusable engines or ignore a
 * cost.
 */
class WeightedRandomPlannerTests {

	private final WeightedRandomPlanner planner = new WeightedRandomPlanner();

	private static FleetSnapshot fleet(List<EngineState> engines) {
		return new FleetSnapshot("hr-central-1", engines, List.of(), 500);
	}

	private static FleetSnapshot fleet(EngineBuilder... engines) {
		return fleet(Stream.of(engines).map(EngineBuilder::build).toList());
	}

	private double shareOf(String server, ChainQuery query, FleetSnapshot fleet) {
		SplittableRandom random = new SplittableRandom(7);
		int hits = 0;
		for (int i = 0; i < 1000; i++) {
			ChainDecision decision = this.planner.plan(query, fleet, random);
			if (decision instanceof ChainDecision.Chosen chosen
					&& chosen.chain().stages().stream().anyMatch((stage) -> stage.server().equals(server))) {
				hits++;
			}
		}
		return hits / 1000.0;
	}

	@Property(tries = 500)
	void coversEachLayerOnceWheneverTheEnginesHoldAllLayers(@ForAll long seed,
			@ForAll @IntRange(min = 1, max = 90) int layers, @ForAll @IntRange(min = 1, max = 25) int count) {
		SplittableRandom random = new SplittableRandom(seed);
		List<EngineState> engines = new ArrayList<>();
		boolean[] held = new boolean[layers];
		for (int i = 0; i < count; i++) {
			int from = random.nextInt(layers);
			int to = from + 1 + random.nextInt(layers);
			engines.add(EngineBuilder.engine("e" + i, from, to)
				.withZone("zone-" + random.nextInt(3))
				.withLayerTime(1 + random.nextInt(2000))
				.withLoad(random.nextInt(40), random.nextInt(5), random.nextInt(20_000))
				.build());
			for (int layer = from; layer < Math.min(to, layers); layer++) {
				held[layer] = true;
			}
		}
		boolean coverable = true;
		for (boolean layerHeld : held) {
			coverable &= layerHeld;
		}
		ChainDecision decision = this.planner.plan(EngineBuilder.query(layers), fleet(engines), random);
		assertThat(decision instanceof ChainDecision.Chosen).isEqualTo(coverable);
		if (decision instanceof ChainDecision.Chosen chosen) {
			assertThat(chosen.chain().covers(layers)).isTrue();
			assertThat(chosen.chain().stages().stream().map(Stage::server).toList()).containsNoDuplicates();
			for (Stage stage : chosen.chain().stages()) {
				EngineState engine = engines.get(Integer.parseInt(stage.server().substring(1)));
				assertThat(stage.fromLayer()).isAtLeast(engine.report().fromLayer());
				assertThat(stage.toLayer()).isAtMost(engine.report().toLayer());
			}
		}
	}

	static Stream<EngineBuilder> unfit() {
		EngineBuilder engine = EngineBuilder.engine("unfit", 0, 32).withLayerTime(1);
		return Stream.of(engine.withLeaving(true, false), engine.withLeaving(false, true),
				engine.withCircuit(CircuitState.OPEN), engine.withCircuit(CircuitState.HALF_OPEN).withLoad(0, 1, 0),
				engine.withSuspect("other"));
	}

	@ParameterizedTest
	@MethodSource("unfit")
	void neverUsesAnUnfitEngineEvenWhenItIsTheOnlyOne(EngineBuilder unfit) {
		assertThat(shareOf("unfit", EngineBuilder.suspect(32), fleet(unfit, EngineBuilder.engine("fit", 0, 32))))
			.isEqualTo(0.0);
		ChainDecision decision = this.planner.plan(EngineBuilder.suspect(32), fleet(unfit), new SplittableRandom(1));
		assertThat(decision).isInstanceOf(ChainDecision.NoChain.class);
		assertThat(((ChainDecision.NoChain) decision).reason()).contains("layer 0");
	}

	@Test
	void neverUsesAnExcludedEngine() {
		ChainQuery query = EngineBuilder.query(32);
		ChainQuery retry = new ChainQuery("r1", "tally", "v1", "", 32, query.rank(), 1, 1, "", "f1", false,
				Set.of("failed"));
		assertThat(shareOf("failed", retry,
				fleet(EngineBuilder.engine("failed", 0, 32), EngineBuilder.engine("other", 0, 32))))
			.isEqualTo(0.0);
	}

	@Test
	void letsASuspectShareAnEngineWithItselfAndOthersWithASuspect() {
		EngineBuilder engine = EngineBuilder.engine("e", 0, 32);
		assertThat(shareOf("e", EngineBuilder.suspect(32), fleet(engine.withSuspect("f1")))).isEqualTo(1.0);
		assertThat(shareOf("e", EngineBuilder.query(32), fleet(engine.withSuspect("f2")))).isEqualTo(1.0);
	}

	static Stream<EngineBuilder> costly() {
		EngineBuilder engine = EngineBuilder.engine("costly", 0, 32).withAdapter("reindeer");
		return Stream.of(engine.withLayerTime(1000), engine.withLoad(32, 0, 0), engine.withLoad(0, 32, 5000),
				engine.withPace(1, 8), engine.withLoad(16, 0, 0).withPace(0.1, 1),
				EngineBuilder.engine("costly", 0, 32).withAdapter("other"), engine.withZone("elqui-1"),
				engine.withCircuit(CircuitState.HALF_OPEN));
	}

	@ParameterizedTest
	@MethodSource("costly")
	void prefersTheCheaperEngineForEachKindOfCost(EngineBuilder costly) {
		ChainQuery query = new ChainQuery("r1", "tally", "v1", "reindeer", 32, EngineBuilder.query(32).rank(), 100, 100,
				"", "f1", false, Set.of());
		FleetSnapshot fleet = new FleetSnapshot("hr-central-1",
				List.of(costly.build(), EngineBuilder.engine("cheap", 0, 32).withAdapter("reindeer").build()),
				List.of(new LinkState("hr-central-1", "elqui-1", 20_000)), 500);
		assertThat(shareOf("costly", query, fleet)).isLessThan(0.15);
	}

	@Test
	void stillProbesAHalfOpenEngine() {
		FleetSnapshot fleet = fleet(EngineBuilder.engine("probed", 0, 32).withCircuit(CircuitState.HALF_OPEN),
				EngineBuilder.engine("other", 0, 32));
		assertThat(shareOf("probed", EngineBuilder.query(32), fleet)).isGreaterThan(0.005);
	}

	@Test
	void avoidsASlowLinkBetweenStages() {
		FleetSnapshot fleet = new FleetSnapshot("hr-central-1",
				List.of(EngineBuilder.engine("a", 0, 16).build(),
						EngineBuilder.engine("b", 0, 16).withZone("hr-central-2").build(),
						EngineBuilder.engine("c", 16, 32).withZone("hr-central-3").build()),
				List.of(new LinkState("hr-central-1", "hr-central-3", 50_000)), 500);
		assertThat(shareOf("b", EngineBuilder.query(32), fleet)).isGreaterThan(0.99);
	}

	@Test
	void prefersAnEngineThatHasThePromptCached() {
		Map<String, Integer> cached = Map.of("warm", 8000);
		ChainQuery query = new ChainQuery("r1", "tally", "v1", "", 32, EngineBuilder.query(32).rank(), 8000, 100,
				"prefix", "f1", false, Set.of());
		FleetSnapshot fleet = fleet(EngineBuilder.engine("warm", 0, 32), EngineBuilder.engine("cold", 0, 32));
		WeightedRandomPlanner aware = new WeightedRandomPlanner((server, prefix) -> cached.getOrDefault(server, 0));
		SplittableRandom random = new SplittableRandom(3);
		int warm = 0;
		for (int i = 0; i < 100; i++) {
			ChainDecision.Chosen chosen = (ChainDecision.Chosen) aware.plan(query, fleet, random);
			warm += (chosen.chain().head().server().equals("warm")) ? 1 : 0;
		}
		assertThat(warm).isAtLeast(90);
	}

	@Test
	void spreadsOverRangesOfNearlyEqualCostByTheirSlots() {
		EngineBuilder whole = EngineBuilder.engine("whole", 0, 32).withLoad(8, 0, 1000);
		EngineBuilder first = EngineBuilder.engine("first", 0, 16).withLoad(8, 0, 1000);
		EngineBuilder second = EngineBuilder.engine("second", 16, 32).withLoad(8, 0, 1000);
		double halves = shareOf("first", EngineBuilder.query(32), fleet(whole, first, second));
		assertWithMessage("share of the second cheapest chain").that(halves).isGreaterThan(0.2);
		EngineBuilder[] engines = new EngineBuilder[17];
		engines[0] = whole;
		for (int i = 1; i < engines.length; i++) {
			engines[i] = EngineBuilder.engine("e" + i, (i % 2 == 0) ? 0 : 16, (i % 2 == 0) ? 16 : 32)
				.withLoad(8, 0, 1000);
		}
		double alone = shareOf("whole", EngineBuilder.query(32), fleet(engines));
		assertWithMessage("share of the only engine with its range").that(alone).isLessThan(0.5 * (1 - halves));
	}

	@Test
	void spreadsOldReportsOverEnginesThatLookIdle() {
		EngineBuilder[] engines = new EngineBuilder[10];
		for (int i = 0; i < engines.length; i++) {
			engines[i] = EngineBuilder.engine("e" + i, 0, 32).withLoad((i == 0) ? 0 : 12, 0, 10_000);
		}
		double share = shareOf("e0", EngineBuilder.query(32), fleet(engines));
		assertWithMessage("share of the engine that was idle 10 s ago").that(share).isLessThan(0.3);
	}

}
