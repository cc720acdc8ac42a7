package org.medlardrum.gateway.internal.load;

import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.thrift.TDeserializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.gateway.GatewayClock;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.gateway.internal.quarantine.RequestQuarantine;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostState;
import org.medlardrum.state.routing.ServerStart;
import org.medlardrum.state.routing.ServiceInstance;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against digests of an earlier or a later build that this one cannot read, while
 * hosts are replaced one after the other.
 */
class EarlierBuildTests {

	/** Encoded by the classes of build 5df1eee, with example values. */
	private static final String RECORDED = "GAlmcm9udC1hLTEYAWEWIhEWAEEZHBgCZTEWgOgHFQYVBAAZHBgBYRgCZTIYAWIViA4AGRwYAm"
			+ "MxFQIYCDVjMWUwN2EyFQIVAhZQABkcGAJlMxcAAAAAAAAEQBYUFwAAAAAAABBAABgOMTAuMS4wLjQwOjczNDARFvQDAA==";

	/** The same with a field that no build knows, in place of the end of the struct. */
	private static final String WITH_UNKNOWN_FIELD = RECORDED.replace("FvQDAA==", "FvQD+AF4AA==");

	private final AtomicLong nowMs = new AtomicLong(1_000);

	@ParameterizedTest
	@ValueSource(strings = { RECORDED, "unknown field" })
	void digestIsRead(String recorded) throws Exception {
		byte[] bytes = Base64.getDecoder().decode((recorded.equals(RECORDED)) ? RECORDED : WITH_UNKNOWN_FIELD);
		Digest digest = new Digest();
		new TDeserializer(new TCompactProtocol.Factory()).deserialize(digest, bytes);
		GatewayClock clock = new GatewayClock(this.nowMs::get, this.nowMs::get);
		DecisionLog log = new DecisionLog(System.out);
		GatewayState state = new GatewayState(clock, log, 4_700);
		state.updateInstances(List.of(instance("e1"), instance("e2")));
		LoadTable loads = new LoadTable();
		RequestQuarantine quarantine = new RequestQuarantine(clock, log, "host");
		LoadExchange exchange = new LoadExchange(state, loads, quarantine, new ServerLimits(clock, log, "host"),
				(peer, reply) -> {
				}, "host", "a", "127.0.0.1:4");
		exchange.updatePeers(List.of(new Host("front-a-1", "a", "", "10.1.0.40:7340", "", HostState.LIVE)));
		digest.setCutOff(false);
		exchange.receive(digest);
		assertThat(state.highestPeerVersion()).isEqualTo(17);
		assertThat(loads.total(this.nowMs.get()).get("e1").sequences()).isEqualTo(3);
		assertThat(state.isSuspect("a", "e2", "b")).isTrue();
		assertThat(quarantine.hasCrashed(new ServerStart("c1", 0))).isTrue();
		assertThat(digest.isSetLeavingServers()).isFalse();
		assertThat(state.fleet().instance("e1").orElseThrow().draining()).isFalse();
	}

	private static ServiceInstance instance(String id) {
		return new ServiceInstance(id, "pool", "127.0.0.1:9", "b", 8, false, 1, "fast", Optional.empty());
	}

}
