package org.medlardrum.coordination.orders;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.coordination.FakePlatformStore;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.decisions.pool.PlacementServer;
import org.medlardrum.decisions.pool.ZoneLayout;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.ManualClock;
import org.medlardrum.state.routing.AcceleratorKind;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against zones that could hold a complete chain and stay without one: after
 * engines registered late, after the loss of several engines, and after the issuer of
 * orders was lost at any point.
 */
class PlacementReplayTests {

	private static final OrderOptions OPTIONS = new OrderOptions(3_000, 500, 400, 500, 6_000, 1);

	private static final List<String> ZONES = List.of("a", "b", "c");

	private final ManualClock clock = new ManualClock(1_000_000);

	private final FakePlatformStore store = new FakePlatformStore(this.clock);

	private EngineFleet fleet = new EngineFleet(this.clock, 1);

	private int issuers;

	private PlacementIssuer issuer = issuer();

	private PlacementIssuer issuer() {
		return new PlacementIssuer(this.store, "entry-" + this.issuers++, this.fleet,
				() -> List.of(new PoolPlacement(EngineFleet.POOL, this.fleet.registered(), this.fleet.leaving)),
				() -> this.store.get(PlacementIssuer.leaseKey()) instanceof StoreResult.NotFound, () -> true,
				this.clock, new Random(3), OPTIONS);
	}

	private void run(long durationMs) {
		for (long i = 0; i < durationMs; i += 250) {
			this.clock.advance(250);
			this.fleet.step();
			this.issuer.step();
		}
	}

	private void assertCompleteZones(String when) {
		ZoneLayout layouts = new ZoneLayout(EngineFleet.POOL);
		for (String zone : ZONES) {
			List<PlacementServer> servers = inZone(zone);
			if (layouts.isViable(servers)) {
				assertWithMessage("%s, layers missing in zone %s of %s", when, zone, this.fleet.held())
					.that(this.fleet.missingLayers(zone))
					.isEqualTo(0);
			}
		}
		assertWithMessage(when).that(this.fleet.overloaded).isEmpty();
	}

	/** The first plan was made from 20 of 26 engines and never changed. */
	@Test
	void enginesOfTheLastZoneRegisterAfterTheFirstPlan() {
		run(6_000);
		this.fleet.startZone("a", 1, 2, 6);
		this.fleet.startZone("b", 1, 3, 5);
		this.fleet.start("c-medium-8", "c", EngineFleet.MEDIUM);
		this.fleet.start("c-medium-9", "c", EngineFleet.MEDIUM);
		run(15_000);
		this.fleet.startZone("c", 1, 3, 2);
		run(30_000);
		assertCompleteZones("after all registered");
	}

	/** One chain through all zones is ordered while no zone has the memory for one. */
	@Test
	void chainThroughAllZonesIsReplacedByAChainInEachZone() {
		run(6_000);
		this.fleet.startZone("a", 1, 2, 3);
		this.fleet.startZone("b", 1, 3, 2);
		this.fleet.startZone("c", 0, 3, 2);
		run(15_000);
		this.fleet.startZone("a", 1, 3, 5);
		this.fleet.startZone("b", 1, 4, 5);
		this.fleet.startZone("c", 1, 4, 4);
		run(40_000);
		assertCompleteZones("after all registered");
	}

	@ParameterizedTest
	@CsvSource({ "1, 6, 2", "1, 2, 6", "0, 3, 6", "1, 3, 4", "1, 6, 4", "0, 4, 5" })
	void smallZonesHoldAChainEachFromTheFirstPlan(int fast, int medium, int slow) {
		ZONES.forEach((zone) -> this.fleet.startZone(zone, fast, medium, slow));
		run(12_000);
		assertCompleteZones("12 s after the start");
		assertThat(ZONES.stream().mapToInt(this.fleet::missingLayers).sum()).isEqualTo(0);
		int orders = this.fleet.orders.size();
		run(60_000);
		assertWithMessage("no further moves").that(this.fleet.orders).hasSize(orders);
	}

	/**
	 * An engine that held 17 to 36 was moved into a gap, because two engines that had
	 * restarted were expected to hold its layers again. They did not yet.
	 */
	@Test
	void redundantEngineStaysUntilOthersHoldItsLayers() {
		this.fleet.startZone("c", 1, 4, 5);
		this.fleet.hold("c-fast-0", 17, 36);
		this.fleet.hold("c-medium-0", 0, 7);
		this.fleet.hold("c-medium-1", 7, 17);
		this.fleet.hold("c-medium-2", 17, 28);
		this.fleet.hold("c-medium-3", 28, 39);
		this.fleet.hold("c-slow-0", 39, 47);
		this.fleet.hold("c-slow-1", 47, 55);
		this.fleet.hold("c-slow-2", 55, 63);
		this.fleet.hold("c-slow-3", 63, 71);
		this.fleet.hold("c-slow-4", 71, 80);
		run(6_000);
		List.of("c-medium-1", "c-medium-2", "c-medium-3").forEach(this.fleet::crash);
		run(3_000);
		this.fleet.unresponsive.addAll(List.of("c-medium-2", "c-medium-3"));
		List.of("c-medium-2", "c-medium-3").forEach((id) -> this.fleet.restart(id, id));
		for (int i = 0; i < 32; i++) {
			run(250);
			assertThat(this.fleet.held()).containsEntry("c-fast-0", new LayerRange(17, 36));
		}
		this.fleet.unresponsive.clear();
		run(20_000);
		assertCompleteZones("after the others hold layers");
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void fourEnginesReturnEmptyAndTakeTheirLayersAgain(long seed) {
		ZONES.forEach((zone) -> this.fleet.startZone(zone, 1, 6, 2));
		run(20_000);
		Map<String, LayerRange> before = this.fleet.held();
		int orders = this.fleet.orders.size();
		List<String> lost = someEngines(4, seed);
		lost.forEach(this.fleet::crash);
		run(3_250 + 250 * (seed % 4));
		boolean sameId = seed % 2 == 0;
		lost.forEach((id) -> this.fleet.restart(id, (sameId) ? id : id + "-again"));
		run(6_000);
		assertCompleteZones("6 s after the return");
		assertThat(this.fleet.orders).hasSize(orders + 4);
		lost.forEach(
				(id) -> assertThat(this.fleet.held().get((sameId) ? id : id + "-again")).isEqualTo(before.get(id)));
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void fourEnginesAreLostForGood(long seed) {
		ZONES.forEach((zone) -> this.fleet.startZone(zone, 1, 6, 4));
		run(20_000);
		someEngines(4, seed).forEach(this.fleet::crash);
		run(12_000);
		assertCompleteZones("12 s after the loss");
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void fourEnginesAreLostForGoodAndOthersJoin(long seed) {
		ZONES.forEach((zone) -> this.fleet.startZone(zone, 1, 6, 2));
		run(20_000);
		List<String> lost = someEngines(4, seed);
		Map<String, PlacementServer> servers = new HashMap<>();
		this.fleet.running().forEach((server) -> servers.put(server.id(), server));
		lost.forEach(this.fleet::crash);
		run(3_000);
		lost.subList(0, 3 + (int) (seed % 2))
			.forEach((id) -> this.fleet.start(id + "-new", servers.get(id).availabilityZone(),
					servers.get(id).acceleratorKind()));
		run(20_000);
		assertCompleteZones("20 s after the others joined");
	}

	/**
	 * The second deployment, whose zones hold one or two chains, or three where the slots
	 * of first engines limit them.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1000000", "2, 1000000", "3, 1000000", "4, 1000000", "5, 1000000", "6, 1000000", "1, 134", "2, 134",
			"3, 134", "4, 134", "5, 134", "6, 134" })
	void zonesOfManyEnginesChangeFewLayersAfterALoss(long seed, int slots) {
		this.fleet.slots = slots;
		this.fleet.startZone("a", 1, 22, 12);
		this.fleet.startZone("b", 4, 9, 14);
		this.fleet.startZone("c", 2, 13, 22);
		run(20_000);
		assertCompleteZones("after the start");
		this.fleet.orders.clear();
		someEngines(4, seed).forEach(this.fleet::crash);
		run(14_000);
		assertCompleteZones("14 s after the loss");
		run(60_000);
		assertCompleteZones("later");
		int orders = this.fleet.orders.size();
		run(60_000);
		assertThat(this.fleet.orders).hasSize(orders);
	}

	private List<String> someEngines(int count, long seed) {
		List<String> ids = new ArrayList<>(this.fleet.held().keySet());
		Collections.shuffle(ids, new Random(seed));
		return ids.subList(0, count);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void enginesThatRegisterOver30SecondsEndWithAChainInEachZone(long seed) {
		List<Map.Entry<String, AcceleratorKind>> engines = new ArrayList<>();
		Random random = new Random(seed);
		for (String zone : ZONES) {
			add(engines, zone, EngineFleet.FAST, 1);
			add(engines, zone, EngineFleet.MEDIUM, random.nextInt(2, 7));
			add(engines, zone, EngineFleet.SLOW, random.nextInt(2, 7));
		}
		Collections.shuffle(engines, random);
		for (Map.Entry<String, AcceleratorKind> engine : engines) {
			this.fleet.start(engine.getKey(), engine.getKey().substring(0, 1), engine.getValue());
			run(250 * random.nextInt(8));
		}
		run(60_000);
		assertCompleteZones("60 s after the last");
		for (String zone : ZONES) {
			List<PlacementServer> servers = inZone(zone);
			Map<String, LayerRange> best = new ZoneLayout(EngineFleet.POOL).layout(servers);
			assertWithMessage("KV cache of zone %s", zone)
				.that((double) EngineFleet.leastTokens(servers, this.fleet.held()))
				.isAtLeast(EngineFleet.leastTokens(servers, best) / 1.15);
		}
		int orders = this.fleet.orders.size();
		run(60_000);
		assertWithMessage("no further moves").that(this.fleet.orders).hasSize(orders);
	}

	/**
	 * Engines of different zones follow one another, so no zone has a pause of its own.
	 */
	@Test
	void firstPlacementWaitsNoLongerThanSixSeconds() {
		run(6_000);
		for (int i = 0; i < 8; i++) {
			this.fleet.start("a-fast-" + i, ZONES.get(i % 3), EngineFleet.FAST);
			run(1_500);
		}
		assertThat(this.fleet.orders).isNotEmpty();
	}

	/** Without a check, the order would be sent again 6 s after the first one. */
	@Test
	void engineThatRestartsWhileItLoadsIsOrderedAgainSoon() {
		ZONES.forEach((zone) -> this.fleet.startZone(zone, 1, 6, 4));
		while (this.fleet.orders.size() < 33) {
			run(250);
		}
		this.fleet.crash("a-fast-0");
		run(2_500);
		this.fleet.restart("a-fast-0", "a-fast-0");
		int orders = this.fleet.orders.size();
		run(2_000);
		assertThat(this.fleet.orders).hasSize(orders + 1);
		run(4_000);
		assertCompleteZones("after the restart");
		assertThat(this.fleet.orders).hasSize(orders + 1);
	}

	/** An upgrade replaces one engine after the other; each new one starts 3 s later. */
	@Test
	void replacedEnginesDoNotMoveOthers() {
		ZONES.forEach((zone) -> this.fleet.startZone(zone, 1, 6, 4));
		run(20_000);
		this.fleet.orders.clear();
		for (int i = 0; i < 6; i++) {
			this.fleet.leaving.add("b-medium-" + i);
			run(3_000);
			this.fleet.start("b-medium-" + i + "-new", "b", EngineFleet.MEDIUM);
			run(6_000);
			assertCompleteZones("after replacement " + i);
		}
		assertThat(this.fleet.orders).hasSize(6);
	}

	@Test
	void zoneIsLaidOutAgainAfterAnEngineLeftForGood() {
		ZONES.forEach((zone) -> this.fleet.startZone(zone, 1, 6, 4));
		run(20_000);
		this.fleet.leaving.add("b-medium-2");
		run(4_500 + 4_500);
		this.fleet.crash("b-medium-2");
		run(3_750);
		assertCompleteZones("after it left");
	}

	/** The layers of the engine before are more than the memory of the next one. */
	@Test
	void smallerEngineAtTheSameAddressIsNotOrderedBeyondItsMemory() {
		ZONES.forEach((zone) -> this.fleet.startZone(zone, 1, 6, 4));
		run(20_000);
		this.fleet.crash("a-fast-0");
		run(3_250);
		this.fleet.start("a-small", "10.0.0.1:a-fast-0", "a", EngineFleet.SLOW);
		run(20_000);
		assertCompleteZones("after the smaller engine started");
	}

	/** Engines behind a partition leave the registry and return with their layers. */
	@ParameterizedTest
	@ValueSource(longs = { 4_000, 8_000, 15_000 })
	void partitionedZoneKeepsItsLayers(long durationMs) {
		ZONES.forEach((zone) -> this.fleet.startZone(zone, 1, 6, 4));
		run(20_000);
		Map<String, LayerRange> before = this.fleet.held();
		this.fleet.partition("b");
		run(durationMs);
		this.fleet.endPartition();
		run(60_000);
		assertThat(this.fleet.held()).isEqualTo(before);
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 5, 10, 16, 17, 20, 25, 30, 32 })
	void issuerLostDuringTheFirstPlacement(int lastOrder) {
		ZONES.forEach((zone) -> this.fleet.startZone(zone, 1, 6, 4));
		Map<String, LayerRange> expected = new HashMap<>();
		ZONES.forEach((zone) -> expected.putAll(new ZoneLayout(EngineFleet.POOL).layout(inZone(zone))));
		this.fleet.rejectAfter = lastOrder;
		run(10_000);
		assertThat(this.fleet.held().size()).isAtMost(lastOrder);
		this.fleet.rejectAfter = Integer.MAX_VALUE;
		this.issuer = issuer();
		run(40_000);
		assertCompleteZones("after the first placement");
		assertThat(this.fleet.held()).isEqualTo(expected);
	}

	/** The next issuer has no other state than the registry. */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void issuersLostAfterEachOrderReachTheSameLayout(long seed) {
		Map<String, LayerRange> expected = layoutAfterLoss(seed, Integer.MAX_VALUE);
		for (int lastOrder = 1; lastOrder < 15; lastOrder++) {
			assertWithMessage("issuer lost after order %s", lastOrder).that(layoutAfterLoss(seed, lastOrder))
				.isEqualTo(expected);
		}
	}

	private Map<String, LayerRange> layoutAfterLoss(long seed, int lastOrder) {
		this.clock.advance(30_000);
		this.fleet = new EngineFleet(this.clock, seed);
		this.issuer = issuer();
		ZONES.forEach((zone) -> this.fleet.startZone(zone, 1, 6, 4));
		run(20_000);
		someEngines(2, seed).forEach(this.fleet::crash);
		this.fleet.orders.clear();
		this.fleet.rejectAfter = lastOrder;
		run(10_000);
		this.fleet.rejectAfter = Integer.MAX_VALUE;
		this.clock.advance(30_000);
		this.issuer = issuer();
		run(30_000);
		assertCompleteZones("after order " + lastOrder);
		return this.fleet.held();
	}

	private List<PlacementServer> inZone(String zone) {
		return this.fleet.running().stream().filter((server) -> server.availabilityZone().equals(zone)).toList();
	}

	private static void add(List<Map.Entry<String, AcceleratorKind>> engines, String zone, AcceleratorKind kind,
			int count) {
		for (int i = 0; i < count; i++) {
			engines.add(Map.entry(zone + '-' + kind.name() + '-' + i, kind));
		}
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void lossesLateOrdersAndLostIssuersEndWithAChainInEachZone(long seed) {
		Random random = new Random(seed);
		this.fleet = new EngineFleet(this.clock, seed);
		this.issuer = issuer();
		this.fleet.lateShare = 0.2;
		this.fleet.refusedShare = 0.1;
		ZONES.forEach((zone) -> this.fleet.startZone(zone, 1, random.nextInt(2, 8), random.nextInt(3, 7)));
		List<String> crashed = new ArrayList<>();
		for (int i = 0; i < 120; i++) {
			run(250 * random.nextInt(4));
			switch (random.nextInt(8)) {
				case 0 -> {
					List<PlacementServer> running = this.fleet.running();
					if (running.size() > 18) {
						String id = running.get(random.nextInt(running.size())).id();
						this.fleet.crash(id);
						crashed.add(id);
					}
				}
				case 1 -> {
					if (!crashed.isEmpty()) {
						String id = crashed.remove(crashed.size() - 1);
						this.fleet.start(id, id.substring(0, 1), kind(id));
					}
				}
				case 2 -> this.issuer = issuer();
				default -> run(250);
			}
		}
		this.fleet.lateShare = 0;
		this.fleet.refusedShare = 0;
		run(60_000);
		assertCompleteZones("60 s after the last fault");
	}

	private static AcceleratorKind kind(String id) {
		return EngineFleet.POOL.kinds().get(id.split("-")[1]);
	}

}
