package org.medlardrum.gateway.internal.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.medlardrum.gateway.CallerAttributes;
import org.medlardrum.gateway.GatewayClock;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.ServerStart;
import org.medlardrum.state.routing.ServiceRoute;
import org.medlardrum.state.routing.ServiceShare;
import org.medlardrum.state.routing.TrafficKind;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a request that crashes servers through one host after the other, and
 * against a quarantine of those that merely ran beside it.
 */
class RequestQuarantineTests {

	private final AtomicLong nowMs = new AtomicLong(1_000_000);

	private final RequestQuarantine first = quarantine();

	private final RequestQuarantine second = quarantine();

	private RequestQuarantine quarantine() {
		return new RequestQuarantine(new GatewayClock(this.nowMs::get, this.nowMs::get), new DecisionLog(System.out),
				"host");
	}

	private static GatewayRequest request(String id, String body) {
		CallerAttributes attributes = new CallerAttributes(id, 0, Optional.empty(), 0, 0, 0, -1, List.of());
		ServiceRoute route = new ServiceRoute("r", "test", "/r/", TrafficKind.SAFE, List.of(new ServiceShare("s", 1)),
				1_000, 500, 0, 0, 2, false, false);
		return new GatewayRequest("POST", "/r/1", List.of("id", id), body.getBytes(StandardCharsets.UTF_8), attributes,
				route, new RoutedService("s", 1, Optional.empty()), Optional.of("org-1"), 0, 0, 1_000);
	}

	private static RunningAttempt running(RequestQuarantine host, String address, GatewayRequest request) {
		RunningAttempt attempt = host.recordStart(new ServerStart("id-" + address, 1), address, request, false);
		attempt.recordWriting();
		return attempt;
	}

	private void crash(RequestQuarantine host, String address, GatewayRequest... running) {
		this.nowMs.addAndGet(100);
		host.recordCrash(address, Arrays.stream(running).map((request) -> running(host, address, request)).toList());
	}

	@Test
	void crashesThroughDifferentHostsCount() {
		crash(this.first, "a:1", request("1", "bad"));
		this.second.merge(this.first.evidenceToTell());
		crash(this.second, "a:2", request("2", "bad"));
		assertThat(this.second.quarantinedForMs(request("3", "bad"))).isGreaterThan(0L);
		this.first.merge(this.second.evidenceToTell());
		assertThat(this.first.quarantinedForMs(request("3", "bad"))).isGreaterThan(0L);
		assertThat(this.first.quarantinedForMs(request("3", "good"))).isEqualTo(0L);
	}

	@Test
	void completionClearsASuspicionOnAllHosts() {
		crash(this.first, "a:1", request("1", "good"), request("2", "bad"));
		this.second.merge(this.first.evidenceToTell());
		this.first.recordBegun(running(this.first, "a:9", request("3", "good")));
		this.second.merge(this.first.evidenceToTell());
		crash(this.second, "a:2", request("4", "good"), request("5", "bad"));
		assertThat(this.second.quarantinedForMs(request("6", "good"))).isEqualTo(0L);
		assertThat(this.second.quarantinedForMs(request("6", "bad"))).isGreaterThan(0L);
	}

	@Test
	void quarantineEnds() {
		crash(this.first, "a:1", request("1", "bad"));
		crash(this.first, "a:2", request("2", "bad"));
		assertThat(this.first.quarantinedForMs(request("3", "bad"))).isEqualTo(RequestQuarantine.QUARANTINE_MS);
		this.nowMs.addAndGet(RequestQuarantine.QUARANTINE_MS);
		assertThat(this.first.quarantinedForMs(request("3", "bad"))).isEqualTo(0L);
		assertThat(this.first.evidenceToTell()).isEmpty();
	}

	/**
	 * The calls of all requests at a crashed server break one after the other.
	 */
	@Test
	void serverIsProbedOnceForAllRequestsThatBreak() {
		GatewayRequest one = request("1", "x");
		GatewayRequest same = request("1", "x");
		RunningAttempt firstAttempt = running(this.first, "a:1", one);
		RunningAttempt secondAttempt = running(this.first, "a:1", same);
		assertThat(this.first.tryBeginProbe("a:1").orElseThrow()).hasSize(2);
		this.first.recordEnd(firstAttempt);
		assertThat(this.first.tryBeginProbe("a:1")).isEmpty();
		this.nowMs.addAndGet(RequestQuarantine.PROBE_INTERVAL_MS);
		assertThat(this.first.tryBeginProbe("a:1").orElseThrow()).hasSize(1);
		this.first.recordEnd(secondAttempt);
		this.nowMs.addAndGet(RequestQuarantine.PROBE_INTERVAL_MS);
		assertThat(this.first.tryBeginProbe("a:1").orElseThrow()).isEmpty();
	}

}
