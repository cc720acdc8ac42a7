package org.medlardrum.coordination.orders;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.coordination.FakePlatformStore;
import org.medlardrum.coordination.TestHosts;
import org.medlardrum.coordination.membership.Membership;
import org.medlardrum.coordination.membership.MembershipOptions;
import org.medlardrum.protocol.engine.EngineOrder;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.BackendServerKind;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.HostDirectory;
import org.medlardrum.state.HostState;
import org.medlardrum.state.ManualClock;
import org.medlardrum.state.config.PlacementConfig;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against two hosts that issue orders at the same time, and against overloading
 * the weight store.
 */
class OrderIssuerTests {

	private static final OrderOptions OPTIONS = OrderOptions.DEFAULT;

	private final ManualClock clock = new ManualClock(1_000_000);

	private final FakePlatformStore store = new FakePlatformStore(this.clock);

	private final Map<String, PlacementConfig> placements = new HashMap<>();

	private double loadsPerMinute = 600;

	private void listEngines(int count) {
		List<BackendServer> engines = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			engines.add(new BackendServer("engine-" + i, "zone-0", "127.0.0.1:1", "models", BackendServerKind.ENGINE,
					"a", HostState.LIVE));
			want(i, "v2");
		}
		this.store.setHosts(new HostDirectory(1, TestHosts.directory(1, 2, 1).entryHosts(), engines));
	}

	private void want(int engine, String version) {
		this.placements.put("engine-" + engine, new PlacementConfig("tally", version, List.of(), "both"));
	}

	private OrderIssuer issuer(int host, EngineOrders engines) {
		Membership membership = new Membership(this.store, "entry-" + host, this.clock, MembershipOptions.DEFAULT);
		membership.step();
		return new OrderIssuer(this.store, engines, membership, "entry-" + host, () -> this.placements,
				() -> this.loadsPerMinute, this.clock, OPTIONS);
	}

	private void run(long durationMs, OrderIssuer... issuers) {
		for (long i = 0; i < durationMs; i += 1_000) {
			this.clock.advance(1_000);
			for (OrderIssuer issuer : issuers) {
				issuer.step();
			}
		}
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void oneHolderBringsTheEngineToItsDesiredState(boolean fencing) {
		listEngines(1);
		FakeEngine engine = new FakeEngine(fencing);
		OrderIssuer first = issuer(0, engine);
		OrderIssuer second = issuer(1, engine);
		run(OPTIONS.leaseTtlMs(), first, second);
		// A new holder waits before it sends an order to an engine that ignores the
		// token.
		assertThat(engine.acceptedOrders).hasSize((fencing) ? 1 : 0);
		run(60_000, first, second);
		assertThat(engine.acceptedOrders).hasSize(1);
		assertThat(engine.version).isEqualTo("v2");
		assertThat(first.stats().holder()).isNotEqualTo(second.stats().holder());
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void holderPausedBeforeItsCheckSendsNothing(boolean fencing) {
		listEngines(1);
		FakeEngine engine = new FakeEngine(fencing);
		OrderIssuer paused = issuer(0, engine);
		run(60_000, paused);
		want(0, "v3");
		this.clock.advance(OPTIONS.leaseTtlMs() + 1);
		OrderIssuer next = issuer(1, engine);
		next.step();
		paused.step();
		assertThat(next.stats().holder()).isTrue();
		assertThat(paused.stats().holder()).isFalse();
		run(120_000, paused, next);
		for (EngineOrder order : engine.acceptedOrders.subList(1, engine.acceptedOrders.size())) {
			assertThat(order.fencingToken()).isEqualTo(next.stats().fencingToken());
		}
		assertThat(engine.version).isEqualTo("v3");
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void orderDelayedPastTheLeaseIsFencedOrCorrectedWithinOnePass(boolean fencing) {
		listEngines(1);
		FakeEngine engine = new FakeEngine(fencing);
		OrderIssuer paused = issuer(0, engine);
		run(60_000, paused);
		OrderIssuer next = issuer(1, engine);
		want(0, "old");
		engine.beforeArrival = (order) -> {
			// The holder is paused between checking the lease and sending the order, and
			// the other host acquires the lease.
			engine.beforeArrival = (other) -> {
			};
			want(0, "new");
			run(120_000, next);
		};
		run(OPTIONS.reconcileMs() + 1_000, paused);
		assertThat(engine.version).isEqualTo((fencing) ? "new" : "old");
		assertThat(paused.stats().fenced()).isEqualTo((fencing) ? 1 : 0);
		run(OPTIONS.reconcileMs() + 2_000, paused, next);
		assertThat(engine.version).isEqualTo("new");
		assertThat(paused.stats().holder()).isFalse();
	}

	@Test
	void orderToAnEngineThatIgnoresTheTokenEndsBeforeTheLease() {
		listEngines(1);
		FakeEngine engine = new FakeEngine(false);
		OrderIssuer issuer = issuer(0, engine);
		run(60_000, issuer);
		want(0, "v3");
		this.store.setOutage(true);
		// Remaining lease time is at most the order timeout and the margin.
		this.clock.advance(OPTIONS.leaseTtlMs() - OPTIONS.orderTimeoutMs() - OPTIONS.marginMs());
		issuer.step();
		assertThat(engine.version).isEqualTo("v2");
		assertThat(issuer.stats().guarded()).isGreaterThan(0L);
	}

	@ParameterizedTest
	@ValueSource(doubles = { 6, 60 })
	void loadsStayWithinTheLimitOfTheWeightStore(double limit) {
		this.loadsPerMinute = limit;
		listEngines(200);
		List<Long> loads = new ArrayList<>();
		Map<String, FakeEngine> engines = new HashMap<>();
		EngineOrders port = new EngineOrders() {
			@Override
			public OrderResult send(BackendServer engine, EngineOrder order, long timeoutMs) {
				loads.add(OrderIssuerTests.this.clock.millis());
				return engines.get(engine.id()).send(engine, order, timeoutMs);
			}

			@Override
			public Optional<EngineReport> report(BackendServer engine, long timeoutMs) {
				return engines.computeIfAbsent(engine.id(), (id) -> new FakeEngine(true)).report(engine, timeoutMs);
			}
		};
		run(120_000, issuer(0, port));
		double burst = Math.max(1, limit / 10);
		assertThat((double) loads.size()).isAtMost(2 * limit + burst);
		assertThat((double) loads.size()).isAtLeast(limit);
	}

	@Test
	void lostResponsesOfLeaseAndOrderCauseNoDuplicates() {
		listEngines(1);
		FakeEngine engine = new FakeEngine(true);
		engine.loseResponse = true;
		this.store.loseResponses(1);
		OrderIssuer issuer = issuer(0, engine);
		run(50_000, issuer);
		assertThat(issuer.stats().holder()).isTrue();
		assertThat(engine.acceptedOrders).hasSize(1);
	}

}
