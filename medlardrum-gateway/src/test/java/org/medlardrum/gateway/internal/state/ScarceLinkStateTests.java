package org.medlardrum.gateway.internal.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.decisions.routing.LayerDenials;
import org.medlardrum.decisions.routing.ServerSuspicions;
import org.medlardrum.decisions.routing.ServerSuspicions.Suspicion;
import org.medlardrum.gateway.GatewayClock;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;
import org.medlardrum.state.routing.ModelPool;
import org.medlardrum.state.routing.RequestLimits;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.RoutingTable;
import org.medlardrum.state.routing.ServiceInstance;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a joint loss of engines that excludes their zone where links are scarce,
 * against another rule where they are not, and against denials that are not told.
 */
class ScarceLinkStateTests {

	private static final int MISDIRECTED = 421;

	private static final int UNAVAILABLE = 503;

	private final AtomicLong nowMs = new AtomicLong(1_000);

	private final DecisionLog log = new DecisionLog(System.out);

	private final GatewayState state = new GatewayState(new GatewayClock(this.nowMs::get, this.nowMs::get), this.log,
			4_700);

	private final ServerPermits permits = new ServerPermits(this.state, this.log);

	@BeforeEach
	void register() {
		registerWithReport(1);
	}

	private void registerWithReport(long reportNumber) {
		this.state
			.updateInstances(IntStream.range(0, 9).mapToObj((number) -> engine("b" + number, reportNumber)).toList());
	}

	private static ServiceInstance engine(String id, long reportNumber) {
		return new ServiceInstance(id, "pool", "10.0.0.1:" + id.charAt(1), "b", 8, false, 1, "l4",
				Optional.of(new LayerRange(0, 8)), reportNumber);
	}

	private void configure(long version, double zoneLinkMbps) {
		ModelPool pool = new ModelPool("model", 8, 100, 800, 1, 0, 0, 100, 0,
				Map.of("l4", new AcceleratorKind("l4", 72_000, 1, 1)), Map.of(), 100_000, zoneLinkMbps, 100, 20);
		this.state.configure(
				new RoutingTable(version, List.of(),
						List.of(new RoutedService("notes", 1, Optional.empty()),
								new RoutedService("pool", 1, Optional.of(pool))),
						false, Map.of(), RequestLimits.DEFAULT));
	}

	private ServiceInstance known(String id) {
		return this.state.fleet().instance(id).orElseThrow();
	}

	private long excludedFromZoneA() {
		return this.state.fleet()
			.all()
			.stream()
			.filter((server) -> this.state.isSuspect("a", server.id(), "b"))
			.count();
	}

	private void loseTwoForEveryone() {
		for (String lost : List.of("b0", "b1")) {
			this.state.suspect("a", known(lost));
			this.state.recordPeerSuspicion("host-b", new Suspicion("b", lost, "b", 3_900));
		}
	}

	@ParameterizedTest
	@CsvSource({ "1_000, 2", "100_000, 9", "0, 9" })
	void jointLossExcludesOnlyTheLostWhereLinksAreScarce(String zoneLinkMbps, int excluded) {
		configure(1, Double.parseDouble(zoneLinkMbps.replace("_", "")));
		loseTwoForEveryone();
		assertThat(excludedFromZoneA()).isEqualTo(excluded);
	}

	@Test
	void configurationChangesTheRule() {
		configure(1, 0);
		loseTwoForEveryone();
		assertThat(excludedFromZoneA()).isEqualTo(9);
		configure(2, 1_000);
		assertThat(excludedFromZoneA()).isEqualTo(2);
		configure(3, 0);
		assertThat(excludedFromZoneA()).isEqualTo(9);
	}

	/** The zone of a server that answers comes from the registry. */
	@ParameterizedTest
	@CsvSource({ "a, b5, 2", "c, b5, 9", "a, unknown, 9" })
	void zoneThatAnswersIsNotPartitioned(String fromZone, String server, int excluded) {
		configure(1, 1_000);
		this.state.suspect("a", known("b0"));
		this.state.suspect("a", known("b1"));
		this.state.recordAnswer(fromZone, server);
		assertThat(excludedFromZoneA()).isEqualTo(excluded);
		this.nowMs.addAndGet(301);
		assertThat(excludedFromZoneA()).isEqualTo(9);
	}

	@Test
	void denialIsToldUntilANewerReport() {
		this.permits.recordRefusedChain(known("b0"), "r1", MISDIRECTED);
		assertThat(this.permits.mayBePart("b0")).isFalse();
		assertThat(this.permits.deniedEngines()).isEqualTo(1);
		this.nowMs.addAndGet(2_000);
		assertThat(this.state.ownSuspicions())
			.containsExactly(new Suspicion("b", "b0", "b", ServerSuspicions.REFUSED_SUSPICION_MS));
		registerWithReport(2);
		assertThat(this.permits.mayBePart("b0")).isTrue();
		assertThat(this.state.ownSuspicions()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(ints = { 429, UNAVAILABLE })
	void otherRefusalDeniesNoLayers(int status) {
		this.permits.recordRefusedChain(known("b0"), "r1", status);
		assertThat(this.permits.mayBePart("b0")).isTrue();
	}

	@Test
	void denialEndsWithoutANewerReport() {
		this.permits.recordRefusedChain(known("b0"), "r1", MISDIRECTED);
		this.nowMs.addAndGet(LayerDenials.DENIAL_MS - 1);
		assertThat(this.permits.mayBePart("b0")).isFalse();
		this.nowMs.addAndGet(1);
		assertThat(this.permits.mayBePart("b0")).isTrue();
		assertThat(this.permits.deniedEngines()).isEqualTo(0);
	}

}
