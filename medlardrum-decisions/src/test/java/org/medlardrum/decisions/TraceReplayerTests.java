package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.FleetSnapshot;
import org.medlardrum.state.Rank;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against decisions that depend on anything other than their recorded input, and
 * against changed decisions that a replay does not report.
 */
class TraceReplayerTests {

	private final TraceRecorder recorder = new TraceRecorder();

	private List<String> record(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<String> trace = new ArrayList<>();
		FleetSnapshot fleet = new FleetSnapshot("hr-central-1",
				List.of(EngineBuilder.engine("a", 0, 20).build(), EngineBuilder.engine("b", 10, 32).build(),
						EngineBuilder.engine("c", 0, 32).withLoad(3, 2, 400).build()),
				List.of(), 500);
		trace.add(this.recorder.fleet(fleet));
		AdmissionLimits limits = new AdmissionLimits(3, 1000, Map.of(Rank.URGENT, new RankLimits(0.5, 300)),
				Map.of("o1", 2.0));
		AdmissionQueue queue = new AdmissionQueue(limits);
		trace.add(this.recorder.limits("engines", limits));
		WeightedRandomPlanner planner = new WeightedRandomPlanner((server, prefix) -> (server.equals("b")) ? 50 : 0);
		List<Work> running = new ArrayList<>();
		for (int i = 0; i < 300; i++) {
			long planSeed = random.nextLong();
			ChainQuery query = EngineBuilder.query(30 + i % 4);
			trace.add(this.recorder.chain(planSeed, query, Map.of("b", 50),
					planner.plan(query, fleet, new SplittableRandom(planSeed))));
			Work work = new Work(i, Rank.values()[random.nextInt(3)], "o" + random.nextInt(3),
					1 + 100 * random.nextDouble(), i * 20, i * 20 + random.nextInt(2000));
			trace.add(this.recorder.offer("engines", work, i * 20, queue.offer(work, i * 20)));
			Optional<Work> started = queue.poll(i * 20);
			trace.add(this.recorder.poll("engines", i * 20, started));
			started.ifPresent(running::add);
			trace.add(this.recorder.expire("engines", i * 20, queue.expire(i * 20)));
			long id = random.nextInt(i + 1);
			trace.add(this.recorder.cancel("engines", id, queue.cancel(id)));
			if (running.size() > 2) {
				Work done = running.remove(random.nextInt(3));
				queue.finish(done.id(), done.cost() / 2, i * 20);
				trace.add(this.recorder.finish("engines", done.id(), done.cost() / 2, i * 20));
			}
		}
		return trace;
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void repeatsEachDecisionFromTheTraceAlone(long seed) {
		ReplayReport report = new TraceReplayer().replay(record(seed));
		assertThat(report.mismatches()).isEmpty();
		assertThat(report.decisions()).isEqualTo(1500);
	}

	@Test
	void reportsEachChangedOutcomeAndEachUnreadableLine() {
		List<String> trace = record(4);
		String chain = trace.get(2);
		assertThat(chain).contains("\"outcome\":{\"stages\":[{\"server\":\"");
		trace.set(2,
				chain.replace("\"outcome\":{\"stages\":[{\"server\":\"", "\"outcome\":{\"stages\":[{\"server\":\"x"));
		trace.add("{\"type\":\"poll\"");
		trace.add("{\"type\":\"poll\",\"pool\":\"unknown\",\"nowMs\":1,\"outcome\":{}}");
		trace.add("");
		ReplayReport report = new TraceReplayer().replay(trace);
		assertThat(report.mismatches().stream().map(ReplayReport.Mismatch::line).toList()).containsExactly(3,
				trace.size() - 2, trace.size() - 1);
		assertThat(report.mismatches().get(0).expected()).contains("\"x");
		assertThat(report.mismatches().get(2).actual()).contains("unknown");
	}

}
