package org.medlardrum.gateway.internal.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.decisions.pool.PoolServer;
import org.medlardrum.gateway.GatewayClock;
import org.medlardrum.gateway.internal.admission.DemandReport;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.gateway.internal.quarantine.RequestQuarantine;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.peer.gen.LeavingServer;
import org.medlardrum.peer.gen.RankDemand;
import org.medlardrum.peer.gen.ServerShare;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostState;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;
import org.medlardrum.state.routing.ServerStart;
import org.medlardrum.state.routing.ServiceInstance;
import org.medlardrum.transport.peer.PeerOptions;

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

	private final LoadTable loads = new LoadTable();

	private final LoadExchange exchange = new LoadExchange(this.state, this.loads,
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

	/**
	 * Guards against first engines that are overbooked by the other hosts: a host with
	 * load at more engines than a digest holds told those with the most KV cache only.
	 */
	@Test
	void digestWithoutRoomForAllLoadsTellsThoseOfFirstEngines() {
		for (int chain = 0; chain < 3; chain++) {
			List<ChainHop> hops = new ArrayList<>();
			hops.add(hop("first-" + chain, 0, 1));
			for (int i = 0; i < 25; i++) {
				hops.add(hop("engine-" + chain + '-' + i, 1 + i * 2, 3 + i * 2));
			}
			this.loads.reserve(hops, 900);
		}
		this.nowMs.addAndGet(LoadExchange.BUSY_INTERVAL_MS);
		this.exchange.step();
		assertThat(this.sent.getFirst().getServerShares().stream().map(ServerShare::getServer).toList())
			.containsAtLeast("first-0", "first-1", "first-2");
	}

	private static ChainHop hop(String id, int fromLayer, int toLayer) {
		LayerRange layers = new LayerRange(fromLayer, toLayer);
		return new ChainHop(
				new PoolServer(id, "127.0.0.1:9", "b", new AcceleratorKind("kind", 20_000, 1, 1), layers, 8), layers);
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

	private LoadExchange receiver(List<DemandReport> received) {
		LoadExchange receiver = new LoadExchange(new GatewayState(this.clock, this.log, KEY_FRESHNESS_MS),
				new LoadTable(), new RequestQuarantine(this.clock, this.log, "other"),
				new ServerLimits(this.clock, this.log, "other"), (peer, digest) -> {
				}, "other", "b", "127.0.0.1:5");
		receiver.exchangeDemand(List::of, (host, reports) -> received.addAll(reports));
		return receiver;
	}

	/**
	 * Guards against a host whose requests are all refused and that therefore has no
	 * load: the others would not know that urgent requests find no capacity.
	 */
	@Test
	void demandOfAHostWithoutLoadIsSentInEachDigest() {
		List<DemandReport> own = List.of(new DemandReport("pool", 0, 72_800, 910),
				new DemandReport("ledger", 2, 0.3, 0));
		this.exchange.exchangeDemand(() -> own, (host, reports) -> {
		});
		for (int i = 0; i < 3; i++) {
			this.nowMs.addAndGet(LoadExchange.BUSY_INTERVAL_MS);
			this.exchange.step();
		}
		assertThat(this.sent).hasSize(3);
		List<DemandReport> received = new ArrayList<>();
		receiver(received).receive(this.sent.getLast());
		assertThat(received).isEqualTo(own);
	}

	/** Guards against a digest that is larger than the datagrams that hosts receive. */
	@ParameterizedTest
	@ValueSource(ints = { 0, 36, 37, 99 })
	void digestsFitIntoDatagrams(int engines) throws Exception {
		LoadTable loads = new LoadTable();
		for (int i = 0; i < engines; i++) {
			loads
				.reserve(List.of(new ChainHop(
						new PoolServer(String.format("i-%08d", i), "127.0.0.1:9", "b",
								new AcceleratorKind("fast", 1, 1, 1), new LayerRange(0, 80), 8),
						new LayerRange(0, 80))), 900);
		}
		LoadExchange loaded = new LoadExchange(this.state, loads, new RequestQuarantine(this.clock, this.log, "host"),
				new ServerLimits(this.clock, this.log, "host"), (peer, digest) -> this.sent.add(digest),
				"front-hr-central-c-4", "hr-central-c", "127.0.0.1:4");
		loaded
			.updatePeers(List.of(new Host("other", "b", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", HostState.LIVE)));
		List<DemandReport> own = new ArrayList<>();
		for (int rank = 0; rank < 4; rank++) {
			own.add(new DemandReport("model-pool-1", rank, 7_280_000, 7_280_000));
			own.add(new DemandReport("plain-service", rank, 100, 100));
		}
		loaded.exchangeDemand(() -> own, (host, reports) -> {
		});
		loaded.step();
		int demands = 0;
		for (Digest digest : this.sent) {
			assertThat(new TSerializer(new TCompactProtocol.Factory()).serialize(digest).length)
				.isAtMost(PeerOptions.MAX_DATAGRAM_BYTES);
			demands += (digest.isSetRanks()) ? digest.getRanksSize() : 0;
		}
		assertThat(demands).isEqualTo(8);
		assertThat(this.sent).hasSize((engines > 36) ? 2 : 1);
	}

	/** Guards against another build's digest that ends the thread that receives them. */
	@Test
	void demandWithoutAPoolIsIgnored() {
		List<DemandReport> received = new ArrayList<>();
		Digest digest = digest("third", 1);
		RankDemand malformed = new RankDemand();
		digest.setRanks(List.of(malformed, new RankDemand("pool", (short) -1, 1, 1),
				new RankDemand("pool", (short) 1, -5, 7_000)));
		receiver(received).receive(digest);
		assertThat(received).containsExactly(new DemandReport("pool", 1, 0, 7));
	}

}
