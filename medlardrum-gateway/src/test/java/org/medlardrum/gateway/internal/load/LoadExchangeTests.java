package org.medlardrum.gateway.internal.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.medlardrum.gateway.GatewayClock;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.gateway.internal.quarantine.RequestQuarantine;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.peer.gen.LeavingServer;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostState;
import org.medlardrum.state.routing.ServerStart;
import org.medlardrum.state.routing.ServiceInstance;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a new suspicion that is sent too late, so that each host detects a
 * failed server only by its own timeout, and against additional digests for repeated or
 * many suspicions, as in an overload when servers refuse requests.
 */
class LoadExchangeTests {

	/** The tests do not depend on the value. */
	private static final long KEY_FRESHNESS_MS = 4_700;

	private final AtomicLong nowMs = new AtomicLong(1_000);

	private final GatewayClock clock = new GatewayClock(this.nowMs::get, this.nowMs::get);

	private final DecisionLog log = new DecisionLog(System.out);

	private final GatewayState state = new GatewayState(this.clock, this.log, KEY_FRESHNESS_MS);

	private final List<Digest> sent = new ArrayList<>();

	private final LoadExchange exchange = new LoadExchange(this.state, new LoadTable(),
			new RequestQuarantine(this.clock, this.log, "host"), new ServerLimits(this.clock, this.log, "host"),
			(peer, digest) -> this.sent.add(digest), "host", "a", "127.0.0.1:4");

	@BeforeEach
	void addPeerAndSendOnce() {
		this.exchange
			.updatePeers(List.of(new Host("other", "b", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", HostState.LIVE)));
		this.exchange.step();
		this.sent.clear();
	}

	private static Digest digest(String host, long configVersion) {
		Digest digest = new Digest();
		digest.setHostId(host);
		digest.setAvailabilityZone("b");
		digest.setConfigVersion(configVersion);
		return digest;
	}

	@Test
	void configurationOlderThanThatOfAnotherHostIsNotFresh() {
		this.state.recordStoreEra(2);
		this.exchange.receive(digest("other", 0));
		this.state.recordConfirmation(this.nowMs.get(), this.nowMs.get());
		assertThat(this.state.isFresh()).isTrue();
		this.exchange.receive(digest("other", 7));
		assertThat(this.state.isFresh()).isFalse();
	}

	@Test
	void newerVersionOfAnotherHostEndsOnlyLaterConfirmations() {
		this.state.recordConfirmation(this.nowMs.get(), this.nowMs.get());
		this.exchange.receive(digest("other", 7));
		assertThat(this.state.isFresh()).isTrue();
		this.nowMs.addAndGet(KEY_FRESHNESS_MS);
		this.state.recordConfirmation(this.nowMs.get(), this.nowMs.get());
		assertThat(this.state.isFresh()).isTrue();
		this.nowMs.addAndGet(1);
		assertThat(this.state.isFresh()).isFalse();
	}

	@Test
	void firstConfirmationCountsOnceTheOtherHostsHaveToldTheirVersions() {
		this.state.recordStoreEra(2);
		this.state.recordConfirmation(this.nowMs.get(), this.nowMs.get());
		assertThat(this.state.isFresh()).isFalse();
		this.exchange.receive(digest("other", 0));
		assertThat(this.state.isFresh()).isTrue();
	}

	@Test
	void drainingServerDoesNotBecomeReadyAgain() {
		this.state.updateInstances(List.of(instance(true)));
		this.state.updateInstances(List.of(instance(false)));
		assertThat(this.state.fleet().instance("e1").orElseThrow().draining()).isTrue();
	}

	private static ServiceInstance instance(boolean draining) {
		return new ServiceInstance("e1", "pool", "127.0.0.1:9", "b", 8, draining, 1, "fast", Optional.empty());
	}

	@Test
	void leavingServerIsToldAtOnceAndBelievedFromOthers() {
		this.state.updateInstances(List.of(instance(false)));
		this.nowMs.addAndGet(LoadExchange.URGENT_INTERVAL_MS);
		this.state.recordLeaving(new ServerStart("e1", 1), "r1");
		this.exchange.step();
		assertThat(this.sent).hasSize(1);
		assertThat(this.sent.getFirst().getLeavingServers()).containsExactly(new LeavingServer("e1", 1));
		GatewayState other = new GatewayState(this.clock, this.log, KEY_FRESHNESS_MS);
		other.updateInstances(List.of(instance(false)));
		LoadExchange receiver = new LoadExchange(other, new LoadTable(),
				new RequestQuarantine(this.clock, this.log, "other"), new ServerLimits(this.clock, this.log, "other"),
				(peer, digest) -> {
				}, "other", "b", "127.0.0.1:5");
		receiver.receive(this.sent.getFirst());
		assertThat(other.fleet().instance("e1").orElseThrow().draining()).isTrue();
		other.updateInstances(List.of());
		other.updateInstances(List.of(instance(false)));
		assertThat(other.fleet().instance("e1").orElseThrow().draining()).isTrue();
	}

	private static ServiceInstance engine(String id) {
		return new ServiceInstance(id, "pool", "127.0.0.1:9", "b", 8, false, 1, "fast", Optional.empty());
	}

	@Test
	void newSuspicionIsSentBeforeTheNextRegularDigest() {
		this.nowMs.addAndGet(LoadExchange.URGENT_INTERVAL_MS);
		this.state.suspectRefusing("b", engine("e1"));
		this.exchange.step();
		assertThat(this.sent).hasSize(1);
		assertThat(this.sent.getFirst().getSilentServers().getFirst().getServer()).isEqualTo("e1");
	}

	@Test
	void repeatedSuspicionWaitsForTheRegularDigest() {
		this.state.suspectRefusing("b", engine("e1"));
		this.nowMs.addAndGet(LoadExchange.URGENT_INTERVAL_MS);
		this.exchange.step();
		this.sent.clear();
		this.nowMs.addAndGet(LoadExchange.URGENT_INTERVAL_MS);
		this.state.suspectRefusing("b", engine("e1"));
		assertThat(this.exchange.step()).isEqualTo(LoadExchange.BUSY_INTERVAL_MS - LoadExchange.URGENT_INTERVAL_MS);
		assertThat(this.sent).isEmpty();
	}

	@Test
	void manySuspicionsAreSentInOneDigest() {
		for (int i = 0; i < 5; i++) {
			this.state.suspect("b", engine("e" + i));
			this.exchange.step();
		}
		assertThat(this.sent).isEmpty();
		this.nowMs.addAndGet(LoadExchange.URGENT_INTERVAL_MS);
		this.exchange.step();
		assertThat(this.sent).hasSize(1);
		assertThat(this.sent.getFirst().getSilentServers()).hasSize(5);
	}

}
