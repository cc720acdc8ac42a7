package org.medlardrum.gateway.internal.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.coordination.follow.PeerConfirmations.PeerConfirmation;
import org.medlardrum.coordination.follow.StoreReads;
import org.medlardrum.gateway.GatewayClock;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostState;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a read of the store by each host, and against waiting for a host that
 * does not answer.
 */
class ConfirmationExchangeTests {

	private static final StoreVersion VERSION = new StoreVersion(1, 5);

	private final AtomicLong nowMs = new AtomicLong(1_000);

	private final GatewayClock clock = new GatewayClock(this.nowMs::get, this.nowMs::get);

	private final Map<String, ConfirmationExchange> hosts = new HashMap<>();

	private final Map<String, FakeReads> reads = new HashMap<>();

	private final List<String> silent = new ArrayList<>();

	@BeforeEach
	void addHosts() {
		for (String id : List.of("a-1", "a-2", "a-3", "b-1")) {
			FakeReads fakeReads = new FakeReads();
			ConfirmationExchange exchange = new ConfirmationExchange(id, id.substring(0, 1), id, this::deliver,
					this.clock, () -> new Digest().setHostId(id));
			exchange.serve(fakeReads);
			this.hosts.put(id, exchange);
			this.reads.put(id, fakeReads);
		}
		this.hosts.forEach((id, exchange) -> exchange
			.updatePeers(this.hosts.keySet().stream().filter((other) -> !other.equals(id)).map(this::host).toList()));
	}

	private Host host(String id) {
		return new Host(id, id.substring(0, 1), "", id, "", HostState.LIVE);
	}

	private void deliver(Host receiver, Digest digest) {
		if (!this.silent.contains(receiver.peerAddress())) {
			this.hosts.get(receiver.peerAddress()).receive(digest);
		}
	}

	@Test
	void firstHostOfAZoneAsksNobody() {
		assertThat(this.hosts.get("a-1").ask()).isEmpty();
		assertThat(this.hosts.get("b-1").ask()).isEmpty();
	}

	@Test
	void oneReadAnswersAllHostsOfAZone() {
		for (String id : List.of("a-2", "a-3", "a-2", "a-3")) {
			assertThat(this.hosts.get(id).ask()).isEqualTo(Optional.of(new PeerConfirmation(VERSION, 7)));
		}
		assertThat(this.reads.get("a-1").count).isEqualTo(1);
		assertThat(this.reads.get("a-2").count).isEqualTo(0);
	}

	@Test
	void hostThatCannotReadTheStoreSaysSoAtOnce() {
		this.reads.get("a-1").available = false;
		assertThat(this.hosts.get("a-2").ask()).isEmpty();
		assertThat(this.hosts.get("a-3").ask()).isEmpty();
	}

	@Test
	void silentHostIsNotAskedForAWhileAndTheNextOneTakesOver() {
		this.silent.add("a-1");
		assertThat(this.hosts.get("a-3").ask()).isEmpty();
		assertThat(this.hosts.get("a-3").ask()).isEmpty();
		assertThat(this.hosts.get("a-3").ask()).isEqualTo(Optional.of(new PeerConfirmation(VERSION, 7)));
		assertThat(this.reads.get("a-2").count).isEqualTo(1);
		this.silent.clear();
		this.nowMs.addAndGet(5_000);
		assertThat(this.hosts.get("a-3").ask()).isPresent();
		assertThat(this.reads.get("a-1").count).isEqualTo(1);
	}

	/** Reads at once when asked. */
	private static final class FakeReads implements StoreReads {

		private boolean available = true;

		private int count;

		private Runnable listener = () -> {
		};

		@Override
		public Optional<PeerConfirmation> lastRead(long maxAgeMs) {
			return (this.available && this.count > 0) ? Optional.of(new PeerConfirmation(VERSION, 7))
					: Optional.empty();
		}

		@Override
		public long maxReadAgeMs() {
			return 675;
		}

		@Override
		public void requestRead() {
			this.count++;
			this.listener.run();
		}

		@Override
		public void onRead(Runnable action) {
			this.listener = action;
		}

	}

}
