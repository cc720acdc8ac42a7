package org.medlardrum.coordination.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.UnaryOperator;

import org.medlardrum.coordination.FakePlatformStore;
import org.medlardrum.coordination.PeerNetwork;
import org.medlardrum.coordination.PeerResult;
import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.TestHosts;
import org.medlardrum.coordination.membership.Membership;
import org.medlardrum.coordination.membership.MembershipOptions;
import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ClaimVerdict;
import org.medlardrum.peer.gen.ConfigPull;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.state.Host;
import org.medlardrum.state.ManualClock;

/**
 * Ledgers of several hosts over one store, driven without threads: a call that waits
 * advances the clock and steps its ledger.
 */
final class ClaimCluster {

	/** Answer timeout of 1 ms: a call that cannot be driven further times out. */
	static final ClaimOptions OPTIONS = new ClaimOptions(250, 4, 1, 2_000, 86_400_000, 600_000, 4_096, 1_000,
			3_600_000);

	final ManualClock clock = new ManualClock(1_000_000_000_000L);

	final FakePlatformStore store = new FakePlatformStore(this.clock);

	final List<ClaimLedger> ledgers = new ArrayList<>();

	final List<Membership> memberships = new ArrayList<>();

	private final Set<Integer> stepping = new HashSet<>();

	/** What happens to a call to a peer; the call itself is the argument. */
	BiFunction<Host, Link, Link> network = (peer, link) -> link;

	private int attempts;

	ClaimCluster(int hosts) {
		this(hosts, OPTIONS, (store) -> store);
	}

	ClaimCluster(int hosts, ClaimOptions options, UnaryOperator<PlatformStore> storeOfHost) {
		this.store.setHosts(TestHosts.directory(1, hosts, 1));
		for (int i = 0; i < hosts; i++) {
			int index = i;
			Membership membership = new Membership(this.store, "entry-" + i, this.clock, MembershipOptions.DEFAULT);
			membership.step();
			this.memberships.add(membership);
			this.ledgers.add(new ClaimLedger(storeOfHost.apply(this.store), new Peers(), membership, "entry-" + i,
					this.clock, options, Runnable::run, () -> pump(index)));
		}
	}

	/** A host whose commit is under way on the stack cannot be driven further. */
	private boolean pump(int index) {
		if (!this.stepping.add(index)) {
			return false;
		}
		this.clock.advance(1);
		this.ledgers.get(index).step();
		this.stepping.remove(index);
		return true;
	}

	void run(long durationMs) {
		for (long i = 0; i < durationMs; i += 50) {
			this.clock.advance(50);
			for (int index = 0; index < this.ledgers.size(); index++) {
				pump(index);
			}
		}
	}

	ClaimRequest request(int host, String key) {
		return new ClaimRequest("pisco", "bookings", key, "digest-" + key, "entry-" + host,
				"attempt-" + ++this.attempts, 30_000);
	}

	ClaimAnswer claim(int host, String key) {
		return this.ledgers.get(host).claim(request(host, key));
	}

	ClaimVerdict verdict(int host, String key) {
		return claim(host, key).getVerdict();
	}

	static ClaimOutcome completed(ClaimRequest request, int status) {
		ClaimOutcome outcome = released(request);
		outcome.setReleased(false);
		outcome.setStatus(status);
		outcome.setContentType("application/json");
		outcome.setBody(("{\"booking\":" + status + "}").getBytes(java.nio.charset.StandardCharsets.UTF_8));
		outcome.setBodyComplete(true);
		return outcome;
	}

	static ClaimOutcome released(ClaimRequest request) {
		ClaimOutcome outcome = new ClaimOutcome();
		outcome.setOrganisation(request.getOrganisation());
		outcome.setRoute(request.getRoute());
		outcome.setIdempotencyKey(request.getIdempotencyKey());
		outcome.setAttemptId(request.getAttemptId());
		outcome.setReleased(true);
		return outcome;
	}

	/**
	 * Makes a host see only itself, as when it cannot reach any peer.
	 * @param host the host
	 */
	void isolate(int host) {
		for (int i = 0; i < this.ledgers.size(); i++) {
			this.memberships.get(host).recordUnreachable("entry-" + i);
		}
	}

	/**
	 * Returns a host that is not the preferred writer of a key.
	 * @param key the key
	 * @return the host
	 */
	int forwarderOf(String key) {
		Map<Integer, Long> before = new HashMap<>();
		for (int i = 0; i < this.ledgers.size(); i++) {
			before.put(i, this.ledgers.get(i).stats().forwarded());
		}
		this.store.setOutage(true);
		for (int i = 0; i < this.ledgers.size(); i++) {
			claim(i, key);
		}
		this.store.setOutage(false);
		for (int i = 0; i < this.ledgers.size(); i++) {
			if (this.ledgers.get(i).stats().forwarded() > before.get(i)) {
				run(2_000);
				return i;
			}
		}
		throw new AssertionError("no host forwards " + key);
	}

	/**
	 * Fate of a call to a peer.
	 */
	enum Link {

		/** The call and its answer arrive. */
		UP,

		/** The connection is refused. */
		REFUSED,

		/** The call is processed and its answer lost. */
		ANSWER_LOST,

		/** The call is lost after the connection was made. */
		CALL_LOST

	}

	/**
	 * Network whose faults are chosen by {@link ClaimCluster#network}.
	 */
	private final class Peers implements PeerNetwork {

		@Override
		public void send(Host peer, Digest digest) {
		}

		@Override
		public PeerResult<ConfigPull> pullConfig(Host peer, long afterVersion) {
			return new PeerResult.Unreachable<>("not used");
		}

		@Override
		public PeerResult<ClaimAnswer> claim(Host peer, ClaimRequest request) {
			return call(peer, (ledger) -> ledger.claimAsWriter(request));
		}

		@Override
		public PeerResult<Boolean> recordOutcome(Host peer, ClaimOutcome outcome) {
			return call(peer, (ledger) -> ledger.recordOutcomeAsWriter(outcome));
		}

		private <T> PeerResult<T> call(Host peer, Function<ClaimLedger, T> call) {
			ClaimLedger ledger = ClaimCluster.this.ledgers.get(Integer.parseInt(peer.id().substring(6)));
			return switch (ClaimCluster.this.network.apply(peer, Link.UP)) {
				case UP -> new PeerResult.Ok<>(call.apply(ledger));
				case REFUSED -> new PeerResult.Unreachable<>("refused");
				case CALL_LOST -> new PeerResult.Unknown<>("call lost");
				case ANSWER_LOST -> {
					call.apply(ledger);
					yield new PeerResult.Unknown<>("answer lost");
				}
			};
		}

	}

}
