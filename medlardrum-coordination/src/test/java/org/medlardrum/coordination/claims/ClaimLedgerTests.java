package org.medlardrum.coordination.claims;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ClaimVerdict;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a key that is granted twice, or a grant that is not in the store.
 */
class ClaimLedgerTests {

	@ParameterizedTest
	@ValueSource(longs = { 0, 3_600_000 })
	void writerThatIsOvertakenBetweenReadAndWriteDoesNotGrant(long pauseMs) {
		ClaimCluster cluster = new ClaimCluster(2);
		int forwarder = cluster.forwarderOf("k");
		int writer = 1 - forwarder;
		// The other host cannot reach the preferred writer and writes as well.
		cluster.isolate(forwarder);
		AtomicBoolean overtaken = new AtomicBoolean();
		AtomicReference<ClaimVerdict> other = new AtomicReference<>();
		cluster.store.beforeWrite((key) -> {
			if (overtaken.compareAndSet(false, true)) {
				other.set(cluster.verdict(forwarder, "k"));
				cluster.clock.advance(pauseMs);
			}
		});
		ClaimVerdict first = cluster.verdict(writer, "k");
		assertThat(other.get()).isEqualTo(ClaimVerdict.GRANTED);
		assertThat(first).isEqualTo((pauseMs != 0) ? ClaimVerdict.OUTCOME_UNKNOWN : ClaimVerdict.IN_PROGRESS);
		assertThat(cluster.ledgers.get(writer).stats().conflicts()).isEqualTo(1);
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void lostAnswerToTheWriteIsDecidedByReadingBack(boolean written) {
		ClaimCluster cluster = new ClaimCluster(1);
		if (written) {
			cluster.store.loseResponses(1);
		}
		else {
			cluster.store.dropWrites(1);
		}
		assertThat(cluster.verdict(0, "k")).isEqualTo(ClaimVerdict.GRANTED);
		assertThat(cluster.verdict(0, "k")).isEqualTo(ClaimVerdict.IN_PROGRESS);
		assertThat(cluster.ledgers.get(0).stats().lostAnswers()).isEqualTo(1);
	}

	@ParameterizedTest
	@EnumSource(names = { "REFUSED", "ANSWER_LOST", "CALL_LOST" })
	void hostWritesItselfWhenThePreferredWriterFails(ClaimCluster.Link fault) {
		ClaimCluster cluster = new ClaimCluster(3);
		int forwarder = cluster.forwarderOf("k");
		cluster.network = (peer, link) -> fault;
		assertThat(cluster.verdict(forwarder, "k")).isEqualTo(ClaimVerdict.GRANTED);
		cluster.network = (peer, link) -> link;
		for (int host = 0; host < 3; host++) {
			assertThat(cluster.verdict(host, "k")).isEqualTo(ClaimVerdict.IN_PROGRESS);
		}
	}

	@Test
	void writerThatDoesNotAnswerIsAvoidedForAWhile() {
		ClaimCluster cluster = new ClaimCluster(2);
		int forwarder = cluster.forwarderOf("k");
		ClaimLedger ledger = cluster.ledgers.get(forwarder);
		cluster.network = (peer, link) -> ClaimCluster.Link.CALL_LOST;
		long before = ledger.stats().forwarded();
		for (int i = 0; i < 5; i++) {
			cluster.claim(forwarder, "k");
		}
		assertThat(ledger.stats().forwarded()).isEqualTo(before + 1);
		cluster.clock.advance(10_000);
		cluster.claim(forwarder, "k");
		assertThat(ledger.stats().forwarded()).isEqualTo(before + 2);
	}

	@Test
	void storeOutageGrantsNothingAndEndsWithTheOutage() {
		ClaimCluster cluster = new ClaimCluster(2);
		cluster.store.setOutage(true);
		ClaimAnswer answer = cluster.claim(0, "k");
		assertThat(answer.getVerdict()).isEqualTo(ClaimVerdict.STORE_UNAVAILABLE);
		assertThat(answer.getRetryAfterMs()).isGreaterThan(0L);
		cluster.store.setOutage(false);
		cluster.run(5_000);
		assertThat(cluster.verdict(1, "k")).isEqualTo(ClaimVerdict.GRANTED);
	}

	@ParameterizedTest
	@CsvSource({ "true, false", "true, true", "false, true" })
	void claimThatMayHaveReachedTheStoreIsWithdrawn(boolean written, boolean writtenLate) {
		AtomicReference<FaultyStore> connection = new AtomicReference<>();
		ClaimCluster cluster = new ClaimCluster(1, ClaimCluster.OPTIONS, (store) -> {
			connection.set(new FaultyStore(store));
			return connection.get();
		});
		AtomicReference<Supplier<StoreResult<StoreEntry>>> late = new AtomicReference<>();
		connection.get().writes = (write) -> () -> {
			connection.get().readsFail = true;
			late.set(write);
			return (written) ? lost(write) : new StoreResult.Unknown<>("delayed");
		};
		ClaimRequest refused = cluster.request(0, "k");
		assertThat(cluster.ledgers.get(0).claim(refused).getVerdict()).isEqualTo(ClaimVerdict.STORE_UNAVAILABLE);
		connection.get().readsFail = false;
		connection.get().writes = (write) -> write;
		cluster.run(3_000);
		if (writtenLate) {
			late.get().get();
		}
		assertThat(cluster.ledgers.get(0).claim(refused).getVerdict()).isEqualTo(ClaimVerdict.STORE_UNAVAILABLE);
		assertThat(cluster.verdict(0, "k")).isEqualTo(ClaimVerdict.GRANTED);
		assertThat(cluster.verdict(0, "k")).isEqualTo(ClaimVerdict.IN_PROGRESS);
	}

	private static StoreResult<StoreEntry> lost(Supplier<StoreResult<StoreEntry>> write) {
		write.get();
		return new StoreResult.Unknown<>("answer lost");
	}

	@Test
	void repeatOfAClaimByADeadHostIsNeverGranted() {
		ClaimCluster cluster = new ClaimCluster(3);
		assertThat(cluster.verdict(2, "k")).isEqualTo(ClaimVerdict.GRANTED);
		cluster.clock.advance(20_000);
		assertThat(cluster.verdict(0, "k")).isEqualTo(ClaimVerdict.IN_PROGRESS);
		cluster.memberships.forEach((membership) -> membership.recordUnreachable("entry-2"));
		for (int i = 0; i < 30; i++) {
			cluster.network = (peer, link) -> (peer.id().equals("entry-2")) ? ClaimCluster.Link.REFUSED : link;
			assertThat(cluster.verdict(i % 2, "k")).isEqualTo(ClaimVerdict.OUTCOME_UNKNOWN);
			cluster.clock.advance(60_000);
		}
	}

	@ParameterizedTest
	@CsvSource({ "100, true", "2048, true", "2049, false" })
	void recordedOutcomeIsGivenToEveryRepeat(int bodyBytes, boolean kept) {
		ClaimCluster cluster = new ClaimCluster(3);
		ClaimRequest request = cluster.request(0, "k");
		cluster.ledgers.get(0).claim(request);
		assertThat(
				cluster.ledgers.get(0).recordOutcome(ClaimCluster.completed(request, 201).setBody(new byte[bodyBytes])))
			.isTrue();
		for (int host = 0; host < 3; host++) {
			ClaimAnswer answer = cluster.claim(host, "k");
			assertThat(answer.getVerdict()).isEqualTo(ClaimVerdict.COMPLETED);
			assertThat(answer.getOutcome().getStatus()).isEqualTo(201);
			assertThat(answer.getOutcome().isBodyComplete()).isEqualTo(kept);
			assertThat(answer.getOutcome().getBody()).hasLength((kept) ? bodyBytes : 0);
		}
	}

	@Test
	void outcomeSurvivesAnOutage() {
		ClaimCluster cluster = new ClaimCluster(2);
		ClaimRequest request = cluster.request(0, "k");
		cluster.ledgers.get(0).claim(request);
		cluster.store.setOutage(true);
		assertThat(cluster.ledgers.get(0).recordOutcome(ClaimCluster.completed(request, 201))).isFalse();
		cluster.run(10_000);
		cluster.store.setOutage(false);
		cluster.run(2_000);
		assertThat(cluster.ledgers.get(0).stats().pendingOutcomes()).isEqualTo(0);
		assertThat(cluster.verdict(1, "k")).isEqualTo(ClaimVerdict.COMPLETED);
	}

	@Test
	void releasedKeyMayRunAgainOnceAndADifferentRequestIsRejected() {
		ClaimCluster cluster = new ClaimCluster(2);
		ClaimRequest request = cluster.request(0, "k");
		cluster.ledgers.get(0).claim(request);
		assertThat(cluster.ledgers.get(0).recordOutcome(ClaimCluster.released(request))).isTrue();
		assertThat(cluster.verdict(1, "k")).isEqualTo(ClaimVerdict.GRANTED);
		assertThat(cluster.verdict(0, "k")).isEqualTo(ClaimVerdict.IN_PROGRESS);
		assertThat(cluster.ledgers.get(0).claim(request).getVerdict()).isEqualTo(ClaimVerdict.STORE_UNAVAILABLE);
		assertThat(cluster.ledgers.get(0).recordOutcome(ClaimCluster.completed(request, 200))).isFalse();
		ClaimRequest different = cluster.request(1, "k").setRequestDigest("another body");
		assertThat(cluster.ledgers.get(1).claim(different).getVerdict()).isEqualTo(ClaimVerdict.DIFFERENT_REQUEST);
	}

}
