package org.medlardrum.coordination.orders;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.medlardrum.coordination.FakePlatformStore;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.decisions.pool.PlacementServer;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.ManualClock;
import org.medlardrum.state.routing.AcceleratorKind;
import org.medlardrum.state.routing.ModelPool;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against orders of two issuers at the same time, orders based on an outdated
 * report, orders that are repeated while they are executed, and engines that stay without
 * layers after a restart.
 */
class PlacementIssuerTests {

	private static final AcceleratorKind KIND = new AcceleratorKind("k", 1_000, 1, 1);

	private static final ModelPool POOL = new ModelPool("model", 8, 100, 1_000, 1, 0, 0, 100, 0, Map.of("k", KIND),
			Map.of(), 0, 0, 100, 20);

	private static final OrderOptions OPTIONS = new OrderOptions(3_000, 500, 400, 500, 6_000, 1);

	private final ManualClock clock = new ManualClock(1_000_000);

	private final FakePlatformStore store = new FakePlatformStore(this.clock);

	private final FakeEngines engines = new FakeEngines();

	private final PlacementIssuer first = issuer("entry-0");

	private final PlacementIssuer second = issuer("entry-1");

	@BeforeEach
	void register() {
		this.engines.start("e1", "10.0.0.1:1");
		this.engines.start("e2", "10.0.0.1:2");
	}

	private PlacementIssuer issuer(String host) {
		return new PlacementIssuer(this.store, host, this.engines,
				() -> List.of(new PoolPlacement(POOL, this.engines.registered())),
				() -> this.store.get(PlacementIssuer.leaseKey()) instanceof StoreResult.NotFound, () -> true,
				this.clock, new Random(3), OPTIONS);
	}

	private void run(long durationMs, PlacementIssuer... issuers) {
		for (long i = 0; i < durationMs; i += 250) {
			this.clock.advance(250);
			for (PlacementIssuer issuer : issuers) {
				issuer.step();
			}
		}
	}

	@Test
	void oneOfTwoIssuersPlacesEachLayerOnce() {
		run(20_000, this.first, this.second);
		assertThat(this.engines.placed).hasSize(2);
		int layers = this.engines.layers.values().stream().mapToInt(LayerRange::length).sum();
		assertThat(layers).isEqualTo(POOL.layers());
	}

	@Test
	void restartedEngineGetsItsLayersBack() {
		run(20_000, this.first);
		LayerRange before = this.engines.layers.get("e1");
		this.engines.stop("e1");
		run(2_000, this.first);
		this.engines.start("e1-again", "10.0.0.1:1");
		run(10_000, this.first);
		assertThat(this.engines.layers.get("e1-again")).isEqualTo(before);
	}

	@Test
	void nextIssuerClosesTheGapOfALostEngine() {
		run(20_000, this.first);
		LayerRange before = this.engines.layers.get("e1");
		this.engines.stop("e1");
		run(6_000, this.second);
		this.engines.start("e3", "10.0.0.1:3");
		run(20_000, this.second);
		assertThat(this.engines.layers.get("e3")).isEqualTo(before);
	}

	@Test
	void orderWhoseResponseIsLostIsNotSentAgainBeforeItHasSettled() {
		this.engines.losesResponses = true;
		run(8_000, this.first);
		int sentOrders = this.engines.placed.size();
		run(2_000, this.first);
		assertThat(this.engines.placed).hasSize(sentOrders);
		this.engines.losesResponses = false;
		run(20_000, this.first);
		assertThat(this.engines.layers).hasSize(2);
	}

	/** Otherwise changes of the registry are batched for the usual time. */
	@Test
	void missingLayersAreUrgentForTheHolderUntilTheyAreHeld() {
		List<String> calls = new ArrayList<>();
		this.first.onUrgent(() -> calls.add("urgent"));
		run(2_500, this.first, this.second);
		assertThat(this.first.isUrgent() || this.second.isUrgent()).isTrue();
		run(20_000, this.first, this.second);
		assertThat(this.first.isUrgent() || this.second.isUrgent()).isFalse();
		assertThat(this.first.stats()).isEqualTo(new PlacementStats(true, 2, 1, 0));
		assertThat(calls).containsExactly("urgent");
		this.engines.stop("e1");
		this.engines.stop("e2");
		this.engines.start("e3", "10.0.0.1:3");
		run(500, this.first, this.second);
		assertThat(this.first.stats().incompleteZones()).isEqualTo(1);
		assertThat(calls).hasSize(2);
	}

	@Test
	void busyEngineReceivesNoOrder() {
		this.engines.busy = true;
		run(20_000, this.first);
		assertThat(this.engines.placed).isEmpty();
	}

	private static final class FakeEngines implements LayerOrders {

		private final Map<String, String> addressById = new HashMap<>();

		private final Map<String, LayerRange> layers = new HashMap<>();

		private final Map<String, Long> orders = new HashMap<>();

		private final List<String> placed = new ArrayList<>();

		private boolean losesResponses;

		private boolean busy;

		void start(String id, String address) {
			this.addressById.put(id, address);
			this.orders.put(id, 0L);
		}

		void stop(String id) {
			this.addressById.remove(id);
			this.layers.remove(id);
		}

		List<PlacementServer> registered() {
			return this.addressById.entrySet()
				.stream()
				.map((entry) -> new PlacementServer(entry.getKey(), entry.getValue(), "a", KIND,
						Optional.ofNullable(this.layers.get(entry.getKey())), EngineFleet.AMPLE_SLOTS))
				.toList();
		}

		private String id(String address) {
			return this.addressById.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().equals(address))
				.findFirst()
				.orElseThrow()
				.getKey();
		}

		@Override
		public Optional<LayerReport> report(String address, long timeoutMs) {
			String id = id(address);
			return Optional
				.of(new LayerReport(Optional.ofNullable(this.layers.get(id)), this.busy, this.orders.get(id)));
		}

		@Override
		public OrderResult place(String engineId, String address, LayerRange range, long expectedOrders,
				long timeoutMs) {
			String id = id(address);
			if (!id.equals(engineId)) {
				return new OrderResult.Refused("status 421");
			}
			this.placed.add(id);
			if (this.losesResponses) {
				return new OrderResult.Unknown("response lost");
			}
			if (this.orders.get(id) != expectedOrders) {
				return new OrderResult.Refused("outdated report");
			}
			this.orders.merge(id, 1L, Long::sum);
			this.layers.put(id, range);
			return new OrderResult.Accepted();
		}

	}

}
