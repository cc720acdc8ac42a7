package org.medlardrum.coordination.claims;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.junit.jupiter.api.Test;
import org.medlardrum.coordination.FakePlatformStore;
import org.medlardrum.coordination.PeerNetwork;
import org.medlardrum.coordination.PeerResult;
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

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against races between the ledger's thread, the commits of its buckets and the
 * calling threads, which could grant a key twice.
 */
class ClaimLedgerThreadTests {

	private static final int KEYS = 200;

	private static final int CALLERS = 6;

	private final FakePlatformStore store = new FakePlatformStore(InstantSource.system());

	private final List<ClaimLedger> ledgers = new ArrayList<>();

	private ClaimLedger ledger(int host, ClaimOptions options) {
		Membership membership = new Membership(this.store, "entry-" + host, InstantSource.system(),
				MembershipOptions.DEFAULT);
		membership.step();
		ClaimLedger ledger = new ClaimLedger(this.store, new DirectPeers(), membership, "entry-" + host,
				InstantSource.system(), options);
		ledger.start();
		return ledger;
	}

	@Test
	void concurrentCallersOfManyHostsGetOneGrantForEachKey() throws Exception {
		this.store.setHosts(TestHosts.directory(1, 3, 1));
		for (int i = 0; i < 3; i++) {
			this.ledgers.add(ledger(i, new ClaimOptions(5, 1, 30_000, 2_000, 86_400_000, 600_000, 4_096, 50, 60_000)));
		}
		Map<String, List<Future<ClaimVerdict>>> verdicts = new HashMap<>();
		try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			for (int i = 0; i < KEYS * CALLERS; i++) {
				int call = i;
				String key = "k" + i % KEYS;
				verdicts.computeIfAbsent(key, (ignored) -> new ArrayList<>()).add(callers.submit(() -> run(call, key)));
			}
		}
		for (Map.Entry<String, List<Future<ClaimVerdict>>> entry : verdicts.entrySet()) {
			long grants = 0;
			for (Future<ClaimVerdict> verdict : entry.getValue()) {
				assertWithMessage(entry.getKey()).that(verdict.get())
					.isAnyOf(ClaimVerdict.GRANTED, ClaimVerdict.IN_PROGRESS, ClaimVerdict.COMPLETED);
				grants += (verdict.get() == ClaimVerdict.GRANTED) ? 1 : 0;
			}
			assertWithMessage(entry.getKey()).that(grants).isEqualTo(1);
			assertThat(run(KEYS * CALLERS, entry.getKey())).isEqualTo(ClaimVerdict.COMPLETED);
		}
		this.ledgers.forEach(ClaimLedger::close);
	}

	private ClaimVerdict run(int call, String key) {
		ClaimLedger ledger = this.ledgers.get(call % 3);
		ClaimRequest request = new ClaimRequest("pisco", "bookings", key, "digest", "entry-" + call % 3,
				"attempt-" + call, 60_000);
		ClaimVerdict verdict = ledger.claim(request).getVerdict();
		if (verdict == ClaimVerdict.GRANTED) {
			assertThat(ledger.recordOutcome(ClaimCluster.completed(request, 201))).isTrue();
		}
		return verdict;
	}

	/**
	 * Network that calls the other ledgers directly.
	 */
	private final class DirectPeers implements PeerNetwork {

		@Override
		public void send(Host peer, Digest digest) {
		}

		@Override
		public PeerResult<ConfigPull> pullConfig(Host peer, long afterVersion) {
			return new PeerResult.Unreachable<>("not used");
		}

		@Override
		public PeerResult<ClaimAnswer> claim(Host peer, ClaimRequest request) {
			return new PeerResult.Ok<>(ledgerOf(peer).claimAsWriter(request));
		}

		@Override
		public PeerResult<Boolean> recordOutcome(Host peer, ClaimOutcome outcome) {
			return new PeerResult.Ok<>(ledgerOf(peer).recordOutcomeAsWriter(outcome));
		}

		private ClaimLedger ledgerOf(Host peer) {
			return ClaimLedgerThreadTests.this.ledgers.get(Integer.parseInt(peer.id().substring(6)));
		}

	}

}
