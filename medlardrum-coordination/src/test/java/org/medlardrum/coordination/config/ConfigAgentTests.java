package org.medlardrum.coordination.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.coordination.FakePlatformStore;
import org.medlardrum.coordination.PeerNetwork;
import org.medlardrum.coordination.PeerResult;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ConfigPull;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostState;
import org.medlardrum.state.ManualClock;
import org.medlardrum.state.config.ConfigChange;
import org.medlardrum.state.config.ConfigCodec;
import org.medlardrum.state.config.ConfigDocuments;
import org.medlardrum.state.config.ConfigEdit;
import org.medlardrum.state.config.ConfigMerge;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against entry hosts that miss an accepted change, fall back to an older version
 * or apply a damaged one.
 */
class ConfigAgentTests {

	private static final long SEED = 20260101;

	private final ManualClock clock = new ManualClock(1_000);

	private final FakePlatformStore store = new FakePlatformStore(this.clock);

	private final ConfigLog log = new ConfigLog(this.store, this.clock);

	private final AgentNetwork network = new AgentNetwork();

	private final List<Host> hosts = IntStream.range(0, 6).mapToObj(ConfigAgentTests::host).toList();

	@Test
	void watcherAppliesAChangeAtOnceAndOthersPollAtAJitteredInterval() {
		ConfigAgent watcher = agent(watchers().get(0), this.store);
		ConfigAgent other = agent(others().get(0), this.store);
		ConfigFixtures.accept(this.log, 1);
		watcher.step();
		other.step();
		this.network.cut = true;
		ConfigFixtures.accept(this.log, 2);
		watcher.step();
		assertThat(versionOf(watcher)).isEqualTo(2);
		other.step();
		assertThat(versionOf(other)).isEqualTo(1);
		this.clock.advance(12_500);
		other.step();
		assertThat(versionOf(other)).isEqualTo(2);
	}

	@Test
	void threadWakesUpForPeersAndSurvivesAFailingListener() throws Exception {
		ConfigFixtures.accept(this.log, 1);
		CountDownLatch first = new CountDownLatch(1);
		CountDownLatch second = new CountDownLatch(2);
		try (ConfigAgent running = agent(others().get(0), this.store)) {
			running.onChange((documents) -> {
				first.countDown();
				second.countDown();
				throw new IllegalStateException("failing listener");
			});
			running.start();
			assertThat(first.await(60, TimeUnit.SECONDS)).isTrue();
			ConfigFixtures.accept(this.log, 2);
			Host watcher = watchers().get(0);
			agent(watcher, this.store).step();
			running.peerVersionReported(watcher, 2);
			assertThat(second.await(60, TimeUnit.SECONDS)).isTrue();
			assertThat(versionOf(running)).isEqualTo(2);
		}
	}

	@Test
	void heardVersionIsPulledFromThePeerWithoutTheStore() {
		ConfigFixtures.accept(this.log, 1);
		ConfigAgent watcher = agent(watchers().get(0), this.store);
		ConfigAgent other = agent(others().get(0), this.store);
		watcher.step();
		other.step();
		ConfigFixtures.accept(this.log, 2);
		watcher.step();
		this.store.setOutage(true);
		other.peerVersionReported(watchers().get(0), 2);
		other.step();
		assertThat(versionOf(other)).isEqualTo(2);
	}

	@Test
	void hostThatStartsDuringAnOutagePullsTheStateFromAPeer() {
		for (int weight = 1; weight <= 70; weight++) {
			ConfigFixtures.accept(this.log, weight);
		}
		ConfigAgent running = agent(this.hosts.get(0), this.store);
		running.step();
		this.store.setOutage(true);
		ConfigAgent starting = agent(this.hosts.get(1), this.store);
		this.network.cut = true;
		assertThat(starting.step()).isGreaterThan(0);
		assertThat(starting.current()).isEmpty();
		this.network.cut = false;
		// Each step asks 3 of 5 peers, of which only one runs.
		for (int step = 0; step < 20 && starting.current().isEmpty(); step++) {
			starting.step();
		}
		assertThat(versionOf(starting)).isEqualTo(70);
		this.store.setOutage(false);
		ConfigFixtures.accept(this.log, 71);
		this.clock.advance(12_500);
		starting.step();
		assertThat(versionOf(starting)).isEqualTo(71);
	}

	@Test
	void olderSnapshotOfTheStoreNeverReplacesANewerVersion() {
		for (int weight = 1; weight <= 70; weight++) {
			ConfigFixtures.accept(this.log, weight);
		}
		ConfigAgent agent = agent(watchers().get(0), this.store);
		List<Long> versions = new ArrayList<>();
		agent.onChange((documents) -> versions.add(documents.version()));
		agent.step();
		// The snapshot of version 64 is read again, because a later version was heard of.
		this.network.cut = true;
		agent.peerVersionReported(others().get(0), 80);
		agent.step();
		assertThat(versionOf(agent)).isEqualTo(70);
		assertThat(versions).isInStrictOrder();
	}

	@Test
	void hostThatStartsWithAStaleStoreCatchesUpFromAPeer() {
		ConfigFixtures.accept(this.log, 1);
		this.store.beginStaleReads();
		FakePlatformStore current = copyOf(this.store);
		ConfigFixtures.accept(new ConfigLog(current, this.clock), 2);
		this.hosts.subList(0, 5).forEach((host) -> agent(host, current).step());
		ConfigAgent starting = agent(this.hosts.get(5), this.store);
		starting.step();
		assertThat(versionOf(starting)).isEqualTo(2);
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void versionNeverFallsWhenTheStoreLosesItsTail(boolean watcher) {
		for (int weight = 1; weight <= 3; weight++) {
			ConfigFixtures.accept(this.log, weight);
		}
		ConfigAgent agent = agent(watcher ? watchers().get(0) : others().get(0), this.store);
		agent.step();
		this.store.lose(LogReader.changeKey(3));
		this.store.lose(LogReader.changeKey(2));
		this.clock.advance(12_500);
		agent.step();
		assertThat(versionOf(agent)).isEqualTo(3);
		// A writer that ignored the loss re-uses version 2 to 4; the host must not mix
		// them.
		for (int weight = 7; weight <= 9; weight++) {
			ConfigFixtures.accept(this.log, weight);
		}
		this.clock.advance(12_500);
		agent.step();
		assertThat(versionOf(agent)).isEqualTo(3);
		assertThat(agent.problem()).contains("change 4 was made for other documents");
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void damagedChangeIsNotAppliedAndNotSkipped(boolean watcher) {
		ConfigFixtures.accept(this.log, 1);
		ConfigAgent agent = agent(watcher ? watchers().get(0) : others().get(0), this.store);
		agent.step();
		ConfigFixtures.accept(this.log, 2);
		ConfigFixtures.accept(this.log, 3);
		String key = LogReader.changeKey(2);
		String intact = ((StoreResult.Ok<StoreEntry>) this.store.get(key)).value().value();
		this.store.put(key, intact.replace("\"weight\":2", "\"weight\":9"));
		this.clock.advance(12_500);
		agent.step();
		assertThat(versionOf(agent)).isEqualTo(1);
		assertThat(agent.problem()).contains("change 2 fails its hash check");
		int reads = this.store.calls("watch") + this.store.calls("get");
		agent.step();
		assertThat(this.store.calls("watch") + this.store.calls("get") - reads).isAtMost(1);
		this.store.put(key, intact);
		this.clock.advance(12_500);
		agent.step();
		assertThat(versionOf(agent)).isEqualTo(3);
		assertThat(agent.problem()).isEmpty();
	}

	@Test
	void invalidChangeKeepsTheLastGoodVersionUntilItIsCorrected() {
		ConfigFixtures.accept(this.log, 1);
		ConfigAgent agent = agent(this.hosts.get(0), this.store);
		List<Long> seen = new ArrayList<>();
		agent.onChange((documents) -> seen.add(documents.version()));
		agent.step();
		ConfigDocuments good = ConfigFixtures.load(this.log);
		JsonObject faulty = ConfigFixtures.baseWith(good.base(), "{'limits':{'futureLimit':1}}");
		ConfigDocuments second = ConfigMerge.documents(2, faulty, Map.of());
		writeUnchecked(good, second);
		writeUnchecked(second, ConfigMerge.documents(3, ConfigFixtures.weight(good.base(), "north", 3), Map.of()));
		this.store.lose(LogReader.changeKey(3));
		this.clock.advance(12_500);
		agent.step();
		assertThat(versionOf(agent)).isEqualTo(1);
		assertThat(agent.problem()).contains("version 2 is not valid here: /limits/futureLimit");
		writeUnchecked(second, ConfigMerge.documents(3, ConfigFixtures.weight(good.base(), "north", 3), Map.of()));
		this.clock.advance(12_500);
		agent.step();
		assertThat(seen).containsExactly(1L, 3L).inOrder();
	}

	@Test
	void damagedPeerResponseIsIgnored() {
		ConfigFixtures.accept(this.log, 1);
		ConfigAgent agent = agent(others().get(0), this.store);
		agent.step();
		ConfigPull forged = new ConfigPull(9, List.of());
		forged.setSnapshotJson("{\"version\":9,\"hash\":\"00\",\"base\":{},\"overlays\":{}}");
		this.network.forged = forged;
		agent.peerVersionReported(this.hosts.get(0), 9);
		agent.step();
		assertThat(versionOf(agent)).isEqualTo(1);
	}

	@Test
	void eachZoneHasThreeWatchers() {
		assertThat(watchers()).hasSize(3);
		List<Host> withoutOne = new ArrayList<>(this.hosts);
		withoutOne.remove(watchers().get(0));
		long left = withoutOne.stream().filter((host) -> ConfigAgent.isWatcher(host.id(), "z-1", withoutOne)).count();
		assertThat(left).isEqualTo(3);
	}

	private void writeUnchecked(ConfigDocuments before, ConfigDocuments after) {
		List<ConfigEdit> edits = ConfigMerge.diff(before, after);
		ConfigChange change = new ConfigChange(after.version(), "id-" + after.version(), before.hash(), after.hash(),
				"ben", 0, edits);
		this.store.put(LogReader.changeKey(after.version()), ConfigCodec.writeChange(change));
	}

	private FakePlatformStore copyOf(FakePlatformStore original) {
		FakePlatformStore copy = new FakePlatformStore(this.clock);
		((StoreResult.Ok<List<StoreEntry>>) original.list("config/")).value()
			.forEach((entry) -> copy.put(entry.key(), entry.value()));
		return copy;
	}

	private ConfigAgent agent(Host host, FakePlatformStore agentStore) {
		ConfigAgent agent = new ConfigAgent(agentStore, this.network,
				new ConfigAgentSettings(host.id(), "z-1", 10_000, 0, 1_000), () -> this.hosts, this.clock,
				new Random(SEED));
		this.network.agents.put(host.id(), agent);
		return agent;
	}

	private List<Host> watchers() {
		return this.hosts.stream().filter((host) -> ConfigAgent.isWatcher(host.id(), "z-1", this.hosts)).toList();
	}

	private List<Host> others() {
		return this.hosts.stream().filter((host) -> !ConfigAgent.isWatcher(host.id(), "z-1", this.hosts)).toList();
	}

	private static long versionOf(ConfigAgent agent) {
		return agent.current().orElseThrow().version();
	}

	private static Host host(int number) {
		return new Host("h" + number, "z-1", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", HostState.LIVE);
	}

	private static final class AgentNetwork implements PeerNetwork {

		private final Map<String, ConfigAgent> agents = new ConcurrentHashMap<>();

		private boolean cut;

		private ConfigPull forged;

		@Override
		public PeerResult<ConfigPull> pullConfig(Host peer, long afterVersion) {
			ConfigAgent agent = this.agents.get(peer.id());
			if (this.cut || (agent == null && this.forged == null)) {
				return new PeerResult.Unreachable<>("cut");
			}
			return new PeerResult.Ok<>((this.forged != null) ? this.forged : agent.pull(afterVersion));
		}

		@Override
		public void send(Host peer, Digest digest) {
			throw new UnsupportedOperationException();
		}

		@Override
		public PeerResult<ClaimAnswer> claim(Host peer, ClaimRequest request) {
			throw new UnsupportedOperationException();
		}

		@Override
		public PeerResult<Boolean> recordOutcome(Host peer, ClaimOutcome outcome) {
			throw new UnsupportedOperationException();
		}

	}

}
