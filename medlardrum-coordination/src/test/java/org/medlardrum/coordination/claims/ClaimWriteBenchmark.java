package org.medlardrum.coordination.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.peer.gen.ClaimRequest;

/**
 * Prints the writes to the store, the written bytes and the waits for a verdict at
 * several claim rates. It runs on a simulated clock with a store that responds
 * immediately, and one ledger writes all 64 buckets.
 */
public final class ClaimWriteBenchmark {

	private static final int DURATION_MS = 20_000;

	/** Time from the grant of a claim to its outcome. */
	private static final int EXECUTION_MS = 100;

	private ClaimWriteBenchmark() {
	}

	/**
	 * Runs the simulation for several claim rates.
	 * @param args not used
	 */
	public static void main(String[] args) {
		for (int claimsPerS : new int[] { 10, 100, 1_000 }) {
			measure(claimsPerS, false);
			measure(claimsPerS, true);
		}
	}

	private static void measure(int claimsPerS, boolean outcomes) {
		long[] writtenBytes = new long[1];
		ClaimCluster cluster = new ClaimCluster(1, ClaimCluster.OPTIONS, (store) -> counting(store, writtenBytes));
		ClaimLedger ledger = cluster.ledgers.get(0);
		List<Long> waitsMs = new ArrayList<>();
		Deque<ClaimRequest> running = new ArrayDeque<>();
		Deque<Long> endsAtMs = new ArrayDeque<>();
		double dueClaims = 0;
		int claims = 0;
		long startedAtNs = System.nanoTime();
		for (int ms = 0; ms < DURATION_MS; ms++) {
			long nowMs = cluster.clock.millis();
			for (dueClaims += claimsPerS / 1_000.0; dueClaims >= 1; dueClaims--) {
				ClaimRequest request = cluster.request(0, "k" + claims++);
				ClaimOperation operation = ClaimOperation.forClaim(request);
				operation.decision().thenAccept((decision) -> {
					waitsMs.add(cluster.clock.millis() - nowMs);
					running.add(request);
					endsAtMs.add(cluster.clock.millis() + EXECUTION_MS);
				});
				ledger.submit(operation);
			}
			while (!endsAtMs.isEmpty() && endsAtMs.peek() <= nowMs) {
				endsAtMs.poll();
				ClaimRequest request = running.poll();
				if (outcomes) {
					ledger.submit(ClaimOperation.forOutcome(ClaimCluster.completed(request, 201)));
				}
			}
			ledger.step();
			cluster.clock.advance(1);
		}
		long elapsedNs = System.nanoTime() - startedAtNs;
		waitsMs.sort(null);
		System.out.printf(
				"%5d claims/s, outcomes %-5s: %6.1f writes/s, %8.1f KB/s written, wait median %d ms, p99 %d ms,"
						+ " max %d ms, %.0f us of one core per claim%n",
				claimsPerS, outcomes, ledger.stats().writes() * 1_000.0 / DURATION_MS,
				writtenBytes[0] / 1_024.0 * 1_000 / DURATION_MS, waitsMs.get(waitsMs.size() / 2),
				waitsMs.get(waitsMs.size() * 99 / 100), waitsMs.getLast(), elapsedNs / 1_000.0 / claims);
	}

	private static PlatformStore counting(PlatformStore store, long[] writtenBytes) {
		FaultyStore connection = new FaultyStore(store);
		connection.writes = (write) -> () -> {
			StoreResult<StoreEntry> result = write.get();
			if (result instanceof StoreResult.Ok<StoreEntry> ok) {
				writtenBytes[0] += ok.value().value().length();
			}
			return result;
		};
		return connection;
	}

}
