package org.medlardrum.decisions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.EngineState;
import org.medlardrum.state.FleetSnapshot;
import org.medlardrum.state.Stage;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against herding: many entry hosts send their requests to the same engines
 * because all of them decide on the same old reports. The baseline picks the engine with
 * the lowest load.
 */
class HerdingTests {

	private static final int HOSTS = 40;

	private static final int LAYERS = 32;

	private static final int SLOTS = 16;

	private static final int REPORT_EVERY_MS = 5000;

	private static final int SERVICE_MS = 2000;

	private final List<EngineBuilder> engines = new ArrayList<>();

	private final List<Deque<Integer>> endsAtMs = new ArrayList<>();

	HerdingTests() {
		for (int i = 0; i < 36; i++) {
			int from = new int[] { 0, 16, 8 }[i % 3];
			int to = new int[] { 16, 32, 24 }[i % 3];
			this.engines.add(EngineBuilder.engine("e" + i, from, to));
			this.endsAtMs.add(new ArrayDeque<>());
		}
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void overloadsEnginesFarLessThanPickingTheLeastLoaded(long seed) {
		double planned = overload(seed, false);
		double baseline = overload(seed, true);
		assertWithMessage("work beyond the slots, baseline %s", baseline).that(planned).isLessThan(baseline / 4);
	}

	// Returns the mean number of sequences in excess of the slots of their engines.
	private double overload(long seed, boolean leastLoaded) {
		SplittableRandom random = new SplittableRandom(seed);
		WeightedRandomPlanner planner = new WeightedRandomPlanner();
		int[] reported = new int[this.engines.size()];
		int[][] own = new int[HOSTS][this.engines.size()];
		long excess = 0;
		int durationMs = 60_000;
		for (int nowMs = 0; nowMs < durationMs; nowMs += 10) {
			if (nowMs % REPORT_EVERY_MS == 0) {
				own = new int[HOSTS][this.engines.size()];
				for (int i = 0; i < reported.length; i++) {
					reported[i] = this.endsAtMs.get(i).size();
				}
			}
			excess += completeWork(nowMs);
			// 70 requests/s × 2 s use 73% of the slots of the outer ranges.
			if (random.nextDouble() < 0.7) {
				int host = random.nextInt(HOSTS);
				FleetSnapshot fleet = fleet(reported, own[host], nowMs % REPORT_EVERY_MS);
				for (int engine : (leastLoaded) ? pickLeastLoaded(reported, own[host]) : plan(planner, fleet, random)) {
					own[host][engine]++;
					this.endsAtMs.get(engine).add(nowMs + SERVICE_MS);
				}
			}
		}
		this.endsAtMs.forEach(Deque::clear);
		return excess / (durationMs / 10.0);
	}

	private long completeWork(int nowMs) {
		long excess = 0;
		for (Deque<Integer> ends : this.endsAtMs) {
			while (!ends.isEmpty() && ends.peek() <= nowMs) {
				ends.poll();
			}
			excess += Math.max(0, ends.size() - SLOTS);
		}
		return excess;
	}

	private FleetSnapshot fleet(int[] reported, int[] own, long ageMs) {
		List<EngineState> states = new ArrayList<>();
		for (int i = 0; i < reported.length; i++) {
			states.add(this.engines.get(i).withLoad(reported[i], own[i], ageMs).build());
		}
		return new FleetSnapshot("hr-central-1", states, List.of(), 500);
	}

	private static List<Integer> plan(WeightedRandomPlanner planner, FleetSnapshot fleet, SplittableRandom random) {
		ChainDecision.Chosen chosen = (ChainDecision.Chosen) planner.plan(EngineBuilder.query(LAYERS), fleet, random);
		return chosen.chain()
			.stages()
			.stream()
			.map(Stage::server)
			.map((id) -> Integer.valueOf(id.substring(1)))
			.toList();
	}

	private List<Integer> pickLeastLoaded(int[] reported, int[] own) {
		List<Integer> picked = new ArrayList<>();
		for (int range = 0; range < 2; range++) {
			int best = range;
			for (int i = range; i < reported.length; i += 3) {
				best = (reported[i] + own[i] < reported[best] + own[best]) ? i : best;
			}
			picked.add(best);
		}
		return picked;
	}

}
