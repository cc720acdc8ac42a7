package org.medlardrum.decisions;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.Rank;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against accepting work that waits longer than its rank allows when a pool
 * completes work more slowly than its engines report.
 */
class ServedRateTests {

	private static final int SLOTS = 10;

	private static final double COST = 100;

	private static final long NOMINAL_SERVICE_MS = 100;

	private static final long MAX_QUEUE_MS = 700;

	@ParameterizedTest
	@ValueSource(ints = { 1, 3, 8 })
	void waitsOfAcceptedWorkStayNearTheLimitWhenThePoolIsSlow(int slowdown) {
		AdmissionQueue queue = new AdmissionQueue(new AdmissionLimits(SLOTS, SLOTS * COST * 1000.0 / NOMINAL_SERVICE_MS,
				Map.of(Rank.URGENT, new RankLimits(0.5, MAX_QUEUE_MS)), Map.of()));
		Deque<long[]> running = new ArrayDeque<>();
		long id = 0;
		long longestWaitMs = 0;
		for (long nowMs = 0; nowMs < 60_000; nowMs++) {
			while (!running.isEmpty() && running.peekFirst()[1] <= nowMs) {
				queue.finish(running.removeFirst()[0], COST, nowMs);
			}
			if (nowMs % 5 == 0) {
				queue.offer(new Work(++id, Rank.URGENT, "a", COST, nowMs, nowMs + 60_000), nowMs);
			}
			for (var next = queue.poll(nowMs); next.isPresent(); next = queue.poll(nowMs)) {
				running.addLast(new long[] { next.get().id(), nowMs + NOMINAL_SERVICE_MS * slowdown });
				if (nowMs > 20_000) {
					longestWaitMs = Math.max(longestWaitMs, nowMs - next.get().arrivedAtMs());
				}
			}
		}
		// The tolerance is one service time, because a wait ends only when a slot becomes
		// free.
		assertThat(longestWaitMs).isAtMost(MAX_QUEUE_MS + NOMINAL_SERVICE_MS * slowdown);
	}

}
