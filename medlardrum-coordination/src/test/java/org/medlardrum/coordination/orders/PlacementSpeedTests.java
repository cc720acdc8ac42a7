package org.medlardrum.coordination.orders;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.coordination.FakePlatformStore;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.decisions.pool.PlacementServer;
import org.medlardrum.state.ManualClock;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against seconds without a zone's chain that are due to batched changes of the
 * registry, long steps and the wait of a new holder of the lease. All times are those of
 * a simulated clock.
 */
class PlacementSpeedTests {

	private static final OrderOptions OPTIONS = new OrderOptions(3_000, 500, 400, 500, 6_000, 1);

	private static final List<String> ZONES = List.of("a", "b", "c");

	private static final long BATCH_DELAY_MS = 1_350;

	private static final long URGENT_BATCH_DELAY_MS = 300;

	private static final long TICK_MS = 50;

	private final ManualClock clock = new ManualClock(1_000_000);

	private final FakePlatformStore store = new FakePlatformStore(this.clock);

	private final EngineFleet fleet = new EngineFleet(this.clock, 1);

	private List<PlacementServer> view = List.of();

	private long viewedAtMs;

	private long nextStepMs;

	private PlacementIssuer issuer = issuer("entry-0");

	private PlacementIssuer issuer(String host) {
		PlacementIssuer next = new PlacementIssuer(this.store, host, this.fleet,
				() -> List.of(new PoolPlacement(EngineFleet.POOL, this.view)),
				() -> this.store.get(PlacementIssuer.leaseKey()) instanceof StoreResult.NotFound, () -> true,
				this.clock, new Random(3), OPTIONS);
		recordEra(next);
		return next;
	}

	private static void recordEra(PlacementIssuer issuer) {
		issuer.recordStoreEra(1);
	}

	private long batchDelayMs() {
		return (this.issuer.isUrgent()) ? URGENT_BATCH_DELAY_MS : BATCH_DELAY_MS;
	}

	private void run(long durationMs) {
		for (long i = 0; i < durationMs; i += TICK_MS) {
			this.clock.advance(TICK_MS);
			this.fleet.step();
			long nowMs = this.clock.millis();
			List<PlacementServer> registered = this.fleet.registered();
			if (nowMs - this.viewedAtMs >= batchDelayMs() && !registered.equals(this.view)) {
				this.view = registered;
				this.viewedAtMs = nowMs;
			}
			if (nowMs >= this.nextStepMs) {
				this.nextStepMs = nowMs + this.issuer.step();
			}
		}
	}

	private boolean isKnownComplete(int engines) {
		return this.view.size() == engines && this.view.stream().allMatch((server) -> server.layers().isPresent());
	}

	private long timeUntilComplete(int engines) {
		long startMs = this.clock.millis();
		while (!isKnownComplete(engines) && this.clock.millis() - startMs < 30_000) {
			run(TICK_MS);
		}
		return this.clock.millis() - startMs;
	}

	private List<String> someEngines(int count, long seed) {
		List<String> ids = new ArrayList<>(this.fleet.held().keySet());
		Collections.shuffle(ids, new Random(seed));
		return ids.subList(0, count);
	}

	/**
	 * Four engines return empty 3.2 to 3.9 s after they were lost together.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 3_200, 3_300, 3_400, 3_500, 3_600, 3_700, 3_800, 3_900 })
	void returnedEnginesAreKnownToHoldTheirLayersSoon(long awayMs) {
		ZONES.forEach((zone) -> this.fleet.startZone(zone, 1, 6, 4));
		run(30_000);
		List<String> lost = someEngines(4, awayMs);
		lost.forEach(this.fleet::crash);
		run(awayMs);
		lost.forEach((id) -> this.fleet.restart(id, id + "-again"));
		run(TICK_MS);
		// 1.4 s to load 8 layers, up to 1.2 s until the next heartbeat.
		assertThat(timeUntilComplete(33)).isAtMost(3_600);
	}

	/**
	 * The issuer is lost together with three engines for good.
	 */
	@Test
	void nextIssuerOrdersSoonAfterItHoldsTheLease() {
		ZONES.forEach((zone) -> this.fleet.startZone(zone, 1, 6, 4));
		run(30_000);
		List<String> lost = someEngines(4, 1);
		lost.forEach(this.fleet::crash);
		this.issuer = issuer("entry-1");
		this.nextStepMs = 0;
		Map<String, Long> heldSinceMs = new HashMap<>();
		this.fleet.orders.clear();
		run(3_500);
		lost.forEach((id) -> this.fleet.restart(id, id + "-again"));
		for (int i = 0; i < 200 && this.fleet.orders.isEmpty(); i++) {
			run(TICK_MS);
			if (this.issuer.stats().holder()) {
				heldSinceMs.putIfAbsent("entry-1", this.clock.millis());
			}
		}
		assertWithMessage("time from the lease to the first order")
			.that(this.clock.millis() - heldSinceMs.get("entry-1"))
			.isAtMost(1_500);
	}

}
