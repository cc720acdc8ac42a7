package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.HdrHistogram.Histogram;
import org.medlardrum.state.EngineState;
import org.medlardrum.state.FleetSnapshot;
import org.medlardrum.state.LinkState;
import org.medlardrum.state.Rank;

/**
 * Prints the time of one planning decision and of the operations of the admission queue.
 * An entry host is designed for 50 decisions per second.
 */
public final class PlannerBenchmark {

	private static final int LAYERS = 80;

	private static final int ZONES = 8;

	// Number of layers that an engine of each accelerator kind holds, and its time for
	// one layer in microseconds.
	private static final int[] HELD_LAYERS = { 8, 10, 16, 20, 27, 40, 80 };

	private static final long[] LAYER_US = { 900, 700, 400, 300, 200, 120, 80 };

	private PlannerBenchmark() {
	}

	/**
	 * Runs the benchmark.
	 * @param args not used
	 */
	public static void main(String[] args) {
		for (int engines : new int[] { 40, 400, 3000 }) {
			plan(engines, false);
			plan(engines, true);
		}
		for (int organisations : new int[] { 10, 100, 410 }) {
			admission(organisations);
		}
	}

	private static FleetSnapshot fleet(int count, boolean randomRanges, SplittableRandom random) {
		List<EngineState> engines = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			int kind = i % HELD_LAYERS.length;
			int held = HELD_LAYERS[kind];
			int from = held * random.nextInt(Math.ceilDiv(LAYERS, held));
			if (randomRanges) {
				from = random.nextInt(LAYERS);
			}
			engines.add(EngineBuilder.engine("e" + i, from, Math.min(LAYERS, from + held))
				.withZone("zone-" + random.nextInt(ZONES))
				.withLayerTime(LAYER_US[kind])
				.withLoad(random.nextInt(20), random.nextInt(2), random.nextInt(5000))
				.build());
		}
		List<LinkState> links = new ArrayList<>();
		for (int from = 0; from < ZONES; from++) {
			for (int to = 0; to < ZONES; to++) {
				links.add(new LinkState("zone-" + from, "zone-" + to, 100L * (1 + Math.abs(from - to))));
			}
		}
		return new FleetSnapshot("zone-0", engines, links, 500);
	}

	private static void plan(int engines, boolean randomRanges) {
		SplittableRandom random = new SplittableRandom(1);
		FleetSnapshot fleet = fleet(engines, randomRanges, random);
		WeightedRandomPlanner planner = new WeightedRandomPlanner();
		ChainQuery query = EngineBuilder.query(LAYERS);
		Histogram histogram = new Histogram(3);
		int chosen = 0;
		for (int i = 0; i < 6000; i++) {
			long startedAtNs = System.nanoTime();
			ChainDecision decision = planner.plan(query, fleet, random);
			long elapsedNs = System.nanoTime() - startedAtNs;
			chosen += (decision instanceof ChainDecision.Chosen) ? 1 : 0;
			if (i >= 2000) {
				histogram.recordValue(elapsedNs);
			}
		}
		print("plan, %d engines, %s ranges (%d%% chosen)".formatted(engines, (randomRanges) ? "random" : "aligned",
				chosen / 60), histogram);
	}

	private static void admission(int organisations) {
		Map<String, Double> weights = new HashMap<>();
		for (int i = 0; i < organisations; i++) {
			weights.put("organisation" + i, 1.0 + i % 3);
		}
		Map<Rank, RankLimits> ranks = Map.of(Rank.URGENT, new RankLimits(0.5, 1000), Rank.STANDARD,
				new RankLimits(0.15, 4000), Rank.BACKGROUND, new RankLimits(0.05, 30_000));
		AdmissionQueue queue = new AdmissionQueue(new AdmissionLimits(64, 500_000, ranks, weights));
		Histogram offers = new Histogram(3);
		Histogram polls = new Histogram(3);
		SplittableRandom random = new SplittableRandom(1);
		List<Work> running = new ArrayList<>();
		for (int i = 0; i < 400_000; i++) {
			// Twice as many offers as completions keep the queue full.
			Work work = new Work(i, Rank.values()[random.nextInt(3)], "organisation" + random.nextInt(organisations),
					500 + random.nextInt(1000), i / 2, i / 2 + 60_000);
			long startedAtNs = System.nanoTime();
			queue.offer(work, i / 2);
			offers.recordValue(System.nanoTime() - startedAtNs);
			if (i % 2 == 0 && !running.isEmpty()) {
				Work done = running.remove(random.nextInt(running.size()));
				queue.finish(done.id(), done.cost(), i / 2);
			}
			startedAtNs = System.nanoTime();
			Optional<Work> next = queue.poll(i / 2);
			polls.recordValue(System.nanoTime() - startedAtNs);
			next.ifPresent(running::add);
			if (i == 200_000) {
				offers.reset();
				polls.reset();
			}
		}
		String queued = ", %d organisations, %d queued".formatted(organisations, queue.queued());
		print("offer" + queued, offers);
		print("poll" + queued, polls);
	}

	private static void print(String operation, Histogram histogram) {
		System.out.printf("%-55s mean %.1f us, p50 %.1f us, p99 %.1f us, max %.1f us%n", operation,
				histogram.getMean() / 1000, histogram.getValueAtPercentile(50) / 1000.0,
				histogram.getValueAtPercentile(99) / 1000.0, histogram.getMaxValue() / 1000.0);
	}

}
