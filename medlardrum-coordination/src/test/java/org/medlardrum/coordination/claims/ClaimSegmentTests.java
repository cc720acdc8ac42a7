package org.medlardrum.coordination.claims;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ClaimVerdict;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against claims that are lost when a new segment is started or old ones are
 * removed, and against a separate write for each claim of a bucket, which would exceed
 * the store's request rate.
 */
class ClaimSegmentTests {

	/** Returns keys that belong to bucket 7. */
	private static List<String> keysOfOneBucket(int count) {
		List<String> keys = new ArrayList<>();
		for (int i = 0; keys.size() < count; i++) {
			if (ClaimKey.of("pisco", "bookings", "k" + i).bucket() == 7) {
				keys.add("k" + i);
			}
		}
		return keys;
	}

	private static List<StoreEntry> segments(ClaimCluster cluster) {
		return ((StoreResult.Ok<List<StoreEntry>>) cluster.store.list("claims/07/")).value();
	}

	private static void fill(ClaimCluster cluster, int host, List<String> keys) {
		for (String key : keys) {
			ClaimRequest request = cluster.request(host, key);
			assertThat(cluster.ledgers.get(host).claim(request).getVerdict()).isEqualTo(ClaimVerdict.GRANTED);
			cluster.ledgers.get(host).recordOutcome(ClaimCluster.completed(request, 201));
		}
	}

	@Test
	void keysStayClaimedAcrossRotationAndForAHostWithoutAnIndex() {
		ClaimCluster cluster = new ClaimCluster(2);
		cluster.isolate(0);
		cluster.isolate(1);
		List<String> keys = keysOfOneBucket(400);
		fill(cluster, 0, keys);
		assertThat(segments(cluster).size()).isAtLeast(2);
		for (StoreEntry segment : segments(cluster)) {
			assertThat(Segment.sizeBytes(segment.value())).isAtMost(Segment.MAX_BYTES);
		}
		for (String key : keys) {
			assertThat(cluster.verdict(1, key)).isEqualTo(ClaimVerdict.COMPLETED);
		}
	}

	@Test
	void hostWithAnOutdatedIndexDoesNotGrantAfterOthersRotated() {
		ClaimCluster cluster = new ClaimCluster(2);
		cluster.isolate(0);
		cluster.isolate(1);
		List<String> keys = keysOfOneBucket(401);
		assertThat(cluster.verdict(1, keys.get(400))).isEqualTo(ClaimVerdict.GRANTED);
		fill(cluster, 0, keys.subList(0, 400));
		assertThat(segments(cluster).size()).isAtLeast(2);
		assertThat(cluster.verdict(1, keys.get(0))).isEqualTo(ClaimVerdict.COMPLETED);
		assertThat(cluster.verdict(1, keys.get(399))).isEqualTo(ClaimVerdict.COMPLETED);
	}

	@Test
	void oldSegmentsAreRemovedAndTheirKeysMayBeClaimedAgain() {
		ClaimCluster cluster = new ClaimCluster(1);
		List<String> keys = keysOfOneBucket(400);
		fill(cluster, 0, keys);
		int before = segments(cluster).size();
		cluster.clock.advance(ClaimCluster.OPTIONS.retentionMs() + 600_000);
		cluster.run(12_000);
		assertThat(segments(cluster).size()).isEqualTo(1);
		assertThat(before).isAtLeast(2);
		assertThat(cluster.verdict(0, keys.get(0))).isEqualTo(ClaimVerdict.GRANTED);
		assertThat(cluster.verdict(0, keys.get(0))).isEqualTo(ClaimVerdict.IN_PROGRESS);
	}

	@Test
	void newestSegmentStaysSoThatItsNumberIsNotUsedAgain() {
		ClaimCluster cluster = new ClaimCluster(2);
		cluster.isolate(0);
		cluster.isolate(1);
		List<String> keys = keysOfOneBucket(400);
		int used = 0;
		while (used == 0 || !segments(cluster).getLast().value().contains(ClaimEntry.SEAL.line())) {
			fill(cluster, 0, keys.subList(used, used + 1));
			used++;
		}
		String sealed = segments(cluster).getLast().key();
		cluster.clock.advance(ClaimCluster.OPTIONS.retentionMs() + 600_000);
		cluster.run(12_000);
		assertThat(segments(cluster).getLast().key()).isEqualTo(sealed);
		cluster.isolate(0);
		cluster.isolate(1);
		assertThat(cluster.verdict(1, keys.get(399))).isEqualTo(ClaimVerdict.GRANTED);
		assertThat(Segment.number(segments(cluster).getLast().key())).isEqualTo(Segment.number(sealed) + 1);
		assertThat(cluster.verdict(0, keys.get(399))).isEqualTo(ClaimVerdict.OUTCOME_UNKNOWN);
	}

	@Test
	void claimsOfOneBucketShareAWriteAndASingleClaimWaitsOnlyForTheLinger() {
		ClaimCluster cluster = new ClaimCluster(1);
		List<String> keys = keysOfOneBucket(101);
		long startMs = cluster.clock.millis();
		cluster.claim(0, keys.get(100));
		assertThat(cluster.clock.millis() - startMs).isAtMost(ClaimCluster.OPTIONS.lingerMs() + 1);
		assertThat(cluster.ledgers.get(0).stats().writes()).isEqualTo(1);
		List<ClaimOperation> operations = keys.subList(0, 100)
			.stream()
			.map((key) -> ClaimOperation.forClaim(cluster.request(0, key)))
			.toList();
		operations.forEach(cluster.ledgers.get(0)::submit);
		cluster.run(300);
		for (ClaimOperation operation : operations) {
			assertThat(operation.decision().join().answer().getVerdict()).isEqualTo(ClaimVerdict.GRANTED);
		}
		assertThat(cluster.ledgers.get(0).stats().writes()).isEqualTo(2);
	}

	@Test
	void keysAreSpreadOverAllBuckets() {
		int[] counts = new int[ClaimKey.BUCKETS];
		for (int i = 0; i < 6_400; i++) {
			counts[ClaimKey.of("pisco", "bookings", "k" + i).bucket()]++;
		}
		for (int count : counts) {
			assertThat(count).isAtLeast(50);
		}
	}

}
