package org.medlardrum.coordination.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ClaimVerdict;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against a second grant of a key and the loss of a recorded outcome. Both could
 * come from any mix of lost, late and refused writes, failed reads, lost peer calls,
 * concurrent writers and abandoned attempts, which the test generates at random.
 */
class ClaimFaultMixTests {

	private static final int HOSTS = 3;

	private static final int OPERATIONS = 1_500;

	private static final int KEYS = 40;

	private final Deque<Supplier<StoreResult<StoreEntry>>> delayedWrites = new ArrayDeque<>();

	private final List<FaultyStore> connections = new ArrayList<>();

	private final Map<String, String> holders = new HashMap<>();

	private final Map<String, Integer> recordedStatuses = new HashMap<>();

	private final Map<String, Integer> sentStatuses = new HashMap<>();

	private final Set<String> released = new HashSet<>();

	private Random random;

	private ClaimCluster cluster;

	private int nestedClaims;

	private int granted;

	private int completed;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16 })
	void noKeyIsGrantedTwiceAndRecordedOutcomesStay(long seed) {
		this.random = new Random(seed);
		this.cluster = new ClaimCluster(HOSTS, ClaimCluster.OPTIONS, this::connect);
		this.cluster.network = (peer, link) -> oneIn(4)
				? ClaimCluster.CallDelivery.values()[this.random.nextInt(ClaimCluster.CallDelivery.values().length)]
				: link;
		for (int i = 0; i < OPERATIONS; i++) {
			claimRandomKey(seed);
			while (!this.delayedWrites.isEmpty() && oneIn(3)) {
				this.delayedWrites.poll().get();
			}
			this.cluster.run((oneIn(20)) ? 5_000 : 50);
			this.connections.forEach((connection) -> connection.readsFail = oneIn(15));
		}
		assertWithMessage("seed %s: grants", seed).that(this.granted).isAtLeast(KEYS / 2);
		assertWithMessage("seed %s: retries that received the outcome", seed).that(this.completed).isAtLeast(20);
		System.out.printf("seed %d: %d grants, %d retries with outcome, %d recorded%n", seed, this.granted,
				this.completed, this.recordedStatuses.size());
	}

	private PlatformStore connect(PlatformStore store) {
		FaultyStore connection = new FaultyStore(store);
		connection.writes = (write) -> switch (this.random.nextInt(24)) {
			case 0 -> () -> new StoreResult.Unavailable<>("refused");
			case 1 -> () -> new StoreResult.Unknown<>("lost before");
			case 2 -> () -> {
				write.get();
				return new StoreResult.Unknown<>("lost after");
			};
			case 3 -> () -> {
				this.delayedWrites.add(write);
				return new StoreResult.Unknown<>("delayed");
			};
			case 4 -> () -> {
				claimFromAnotherHost();
				return write.get();
			};
			default -> write;
		};
		this.connections.add(connection);
		return connection;
	}

	/** Claims a key at a random host while a write of another claim is in progress. */
	private void claimFromAnotherHost() {
		if (this.nestedClaims < 2) {
			claimRandomKey(-1);
		}
	}

	private void claimRandomKey(long seed) {
		this.nestedClaims++;
		int host = this.random.nextInt(HOSTS);
		String key = "k" + this.random.nextInt(KEYS);
		ClaimRequest request = this.cluster.request(host, key);
		Integer recordedBefore = this.recordedStatuses.get(key);
		ClaimAnswer answer = this.cluster.ledgers.get(host).claim(request);
		check(key, request, answer, recordedBefore);
		if (answer.getVerdict() == ClaimVerdict.GRANTED) {
			finishAttempt(host, key, request);
		}
		this.nestedClaims--;
	}

	private void check(String key, ClaimRequest request, ClaimAnswer answer, Integer recordedBefore) {
		String description = "key " + key + ", " + request.getAttemptId() + ": " + answer.getVerdict() + " "
				+ answer.getDetail();
		if (answer.getVerdict() == ClaimVerdict.GRANTED) {
			this.granted++;
			String former = this.holders.put(key, request.getAttemptId());
			assertWithMessage("%s, but %s holds the key", description, former)
				.that(former == null || this.released.contains(former))
				.isTrue();
		}
		if (answer.getVerdict() == ClaimVerdict.COMPLETED) {
			this.completed++;
			assertWithMessage(description).that(answer.getOutcome().getStatus()).isEqualTo(this.sentStatuses.get(key));
		}
		if (recordedBefore != null) {
			assertWithMessage("%s, but %s is recorded", description, recordedBefore).that(answer.getVerdict())
				.isAnyOf(ClaimVerdict.COMPLETED, ClaimVerdict.STORE_UNAVAILABLE);
		}
	}

	/** Completes, releases or abandons a granted attempt at random. */
	private void finishAttempt(int host, String key, ClaimRequest request) {
		int choice = this.random.nextInt(10);
		if (choice == 0) {
			return;
		}
		if (choice < 4) {
			this.released.add(request.getAttemptId());
			this.cluster.ledgers.get(host).recordOutcome(ClaimCluster.released(request));
			return;
		}
		int status = 1_000 + this.granted;
		this.sentStatuses.put(key, status);
		ClaimOutcome outcome = ClaimCluster.completed(request, status);
		if (this.cluster.ledgers.get(host).recordOutcome(outcome)) {
			this.recordedStatuses.put(key, status);
		}
	}

	private boolean oneIn(int chances) {
		return this.random.nextInt(chances) == 0;
	}

}
