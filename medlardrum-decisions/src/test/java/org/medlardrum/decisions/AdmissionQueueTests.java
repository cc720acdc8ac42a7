package org.medlardrum.decisions;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.Rank;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against floods of requests that take the capacity guaranteed to other ranks,
 * large organisations that displace small ones, starvation, and loss of accepted work.
 */
class AdmissionQueueTests {

	private static final double COST_PER_S = 1000;

	private static final Map<Rank, RankLimits> RANKS = Map.of(Rank.URGENT, new RankLimits(0.5, 1000), Rank.STANDARD,
			new RankLimits(0.15, 4000), Rank.BACKGROUND, new RankLimits(0.05, 30_000));

	private static AdmissionLimits limits(int slots) {
		return new AdmissionLimits(slots, COST_PER_S, RANKS, Map.of());
	}

	private static Work work(long id, Rank rank, String organisation) {
		return new Work(id, rank, organisation, 10, 0, 60_000);
	}

	@ParameterizedTest
	@CsvSource({ "URGENT, 1", "URGENT, 8", "STANDARD, 1", "STANDARD, 8", "BACKGROUND, 1", "BACKGROUND, 8" })
	void keepsEachFloorInAFloodOfOneRank(Rank flooded, int slots) {
		AdmissionSimulation simulation = new AdmissionSimulation(limits(slots), 1);
		for (Rank rank : Rank.values()) {
			double offered = (rank == flooded) ? 10 * COST_PER_S : 1.5 * RANKS.get(rank).floorShare() * COST_PER_S;
			simulation.source(rank.name(), rank, "flock", offered, 10);
		}
		long durationMs = 60_000;
		Map<String, AdmissionSimulation.Result> results = simulation.run(durationMs);
		double total = 0;
		for (Rank rank : Rank.values()) {
			double share = results.get(rank.name()).servedCost / (COST_PER_S * durationMs / 1000);
			total += share;
			assertWithMessage("share of %s", rank).that(share).isAtLeast(0.97 * RANKS.get(rank).floorShare());
		}
		assertWithMessage("utilisation of the pool").that(total).isAtLeast(0.97);
	}

	@ParameterizedTest
	@EnumSource(names = { "STANDARD", "BACKGROUND" })
	void servesUrgentWorkInTimeDuringAFloodOfAnotherRank(Rank flooded) {
		Map<String, AdmissionSimulation.Result> results = new AdmissionSimulation(limits(8), 2)
			.source("flood", flooded, "flock", 20 * COST_PER_S, 40)
			.source("urgent", Rank.URGENT, "crossing", 0.6 * COST_PER_S, 10)
			.run(60_000);
		AdmissionSimulation.Result urgent = results.get("urgent");
		assertThat(urgent.refused).isAtMost(urgent.accepted / 100);
		assertThat(urgent.maxWaitMs).isAtMost(1000);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void keepsSmallOrganisationsWithinFivePercentOfWhatTheyGetAlone(long seed) {
		double alone = smallOrganisations(new AdmissionSimulation(limits(4), seed), 9);
		double beside = smallOrganisations(
				new AdmissionSimulation(limits(4), seed).source("large", Rank.STANDARD, "large", 30 * COST_PER_S, 10),
				9);
		assertThat(beside).isAtLeast(0.95 * alone);
	}

	private static double smallOrganisations(AdmissionSimulation simulation, int count) {
		for (int i = 0; i < count; i++) {
			simulation.source("small" + i, Rank.STANDARD, "small" + i, 0.9 * COST_PER_S / (count + 1), 10);
		}
		Map<String, AdmissionSimulation.Result> results = simulation.run(120_000);
		results.remove("large");
		return results.values().stream().mapToDouble((result) -> result.servedCost).min().orElseThrow();
	}

	@Test
	void sharesByWeightWithinARankAndStarvesNobody() {
		Map<String, Double> weights = new HashMap<>();
		for (int i = 0; i < 10; i++) {
			weights.put("organisation" + i, (i < 5) ? 1.0 : 3.0);
		}
		AdmissionSimulation simulation = new AdmissionSimulation(new AdmissionLimits(4, COST_PER_S, RANKS, weights), 5);
		weights.keySet().forEach((name) -> simulation.source(name, Rank.STANDARD, name, COST_PER_S, 10));
		Map<String, AdmissionSimulation.Result> results = simulation.run(100_000);
		weights.forEach((name, weight) -> assertWithMessage(name).that(results.get(name).servedCost)
			.isWithin(0.1 * weight * 5000)
			.of(weight * 5000));
	}

	@ParameterizedTest
	@ValueSource(ints = { 2, 8, 64 })
	void keepsTheWaitOfAcceptedWorkNearItsLimitWhenAllRanksFlood(int slots) {
		AdmissionSimulation simulation = new AdmissionSimulation(limits(slots), 3);
		for (Rank rank : Rank.values()) {
			simulation.source(rank.name(), rank, "flock", 4 * COST_PER_S, 10);
		}
		Map<String, AdmissionSimulation.Result> results = simulation.run(90_000);
		for (Rank rank : Rank.values()) {
			long limitMs = RANKS.get(rank).maxQueueMs();
			assertWithMessage("%s", rank).that(results.get(rank.name()).maxWaitMs).isAtMost(limitMs + limitMs / 4);
		}
	}

	@Test
	void keepsTheWaitOfALargeOrganisationNearItsLimitBesideSmallOnes() {
		AdmissionSimulation simulation = new AdmissionSimulation(limits(8), 4).source("large", Rank.STANDARD, "large",
				20 * COST_PER_S, 10);
		for (int i = 0; i < 5; i++) {
			simulation.source("small" + i, Rank.STANDARD, "small" + i, 0.1 * COST_PER_S, 10);
		}
		long limitMs = RANKS.get(Rank.STANDARD).maxQueueMs();
		assertThat(simulation.run(60_000).get("large").maxWaitMs).isAtMost(limitMs + limitMs / 2);
	}

	@Test
	void accumulatesNoDeficitForARankWithoutQueuedWork() {
		AdmissionQueue queue = new AdmissionQueue(limits(1));
		queue.offer(work(1, Rank.BACKGROUND, "a"), 0);
		queue.offer(work(2, Rank.URGENT, "a"), 0);
		queue.offer(work(3, Rank.URGENT, "a"), 0);
		assertThat(queue.poll(0).orElseThrow().id()).isEqualTo(2);
		queue.cancel(1);
		queue.offer(work(4, Rank.BACKGROUND, "a"), 0);
		queue.finish(2, 10, 0);
		assertThat(queue.poll(0).orElseThrow().id()).isEqualTo(3);
	}

	@Test
	void starvesNobodyWhenTheScaleOfTheWeightsChanges() {
		AdmissionQueue queue = new AdmissionQueue(limits(1));
		for (int i = 0; i < 12; i++) {
			queue.offer(work(i, Rank.STANDARD, (i % 2 == 0) ? "a" : "b"), 0);
		}
		for (int i = 0; i < 3; i++) {
			queue.finish(queue.poll(0).orElseThrow().id(), 10, 0);
		}
		queue.update(new AdmissionLimits(1, COST_PER_S, RANKS, Map.of("a", 1e6, "b", 1e6)));
		int a = 0;
		for (int i = 0; i < 4; i++) {
			Work work = queue.poll(0).orElseThrow();
			a += (work.organisation().equals("a")) ? 1 : 0;
			queue.finish(work.id(), 10, 0);
		}
		assertThat(a).isEqualTo(2);
	}

	@Test
	void boundsTheWaitOfAcceptedWorkWhenMoreUrgentWorkFloodsLater() {
		Map<String, AdmissionSimulation.Result> results = new AdmissionSimulation(limits(4), 6)
			.source("background", Rank.BACKGROUND, "digests", 4 * COST_PER_S, 20)
			.source("urgent", Rank.URGENT, "crossing", 10 * COST_PER_S, 10, 20_000)
			.run(900_000);
		// Work that was accepted for a wait of 30 s at the full rate is served at the
		// 5% of its floor once the flood starts, which takes 20 times as long.
		assertThat(results.get("background").maxWaitMs).isAtMost(30_000 * 20 + 30_000);
		assertThat(results.get("urgent").maxWaitMs).isAtMost(1500);
	}

	@Test
	void refusesTheOrganisationThatFillsTheQueueFirst() {
		AdmissionQueue queue = new AdmissionQueue(limits(1));
		long id = 0;
		AdmissionDecision last = queue.offer(work(id++, Rank.URGENT, "large"), 0);
		queue.poll(0);
		while (last instanceof AdmissionDecision.Accepted) {
			last = queue.offer(work(id++, Rank.URGENT, "large"), 0);
		}
		assertThat(((AdmissionDecision.Refused) last).retryAfterMs()).isGreaterThan(0L);
		assertThat(queue.offer(work(id++, Rank.URGENT, "small"), 0)).isInstanceOf(AdmissionDecision.Accepted.class);
		assertThat(queue.offer(work(id++, Rank.URGENT, "large"), 0)).isInstanceOf(AdmissionDecision.Refused.class);
		assertThat(queue.poll(0)).isEmpty();
		queue.finish(0, 10, 10);
		queue.poll(10);
		queue.finish(1, 10, 20);
		assertThat(queue.poll(20).orElseThrow().organisation()).isEqualTo("small");
	}

	@Test
	void losesNoAcceptedWorkAndReturnsEachExpiredOneOnce() {
		AdmissionQueue queue = new AdmissionQueue(limits(1));
		queue.offer(work(1, Rank.URGENT, "a"), 0);
		queue.offer(new Work(2, Rank.URGENT, "a", 10, 0, 500), 0);
		queue.offer(work(3, Rank.STANDARD, "b"), 0);
		queue.offer(work(4, Rank.STANDARD, "b"), 0);
		assertThat(queue.poll(0).orElseThrow().id()).isEqualTo(1);
		queue.update(new AdmissionLimits(1, 1, RANKS, Map.of("a", 1e6, "b", 2e6)));
		assertThat(queue.cancel(3)).isTrue();
		assertThat(queue.cancel(3)).isFalse();
		assertThat(queue.cancel(1)).isFalse();
		queue.finish(1, 25, 600);
		assertThat(queue.poll(600).orElseThrow().id()).isEqualTo(4);
		assertThat(queue.expire(600)).isEqualTo(List.of(new Work(2, Rank.URGENT, "a", 10, 0, 500)));
		assertThat(queue.expire(600)).isEmpty();
		assertThat(queue.queued()).isEqualTo(0);
	}

	@Test
	void chargesWorkThatCostMoreThanExpected() {
		AdmissionQueue queue = new AdmissionQueue(limits(1));
		for (int i = 0; i < 40; i++) {
			queue.offer(work(i, Rank.STANDARD, (i % 2 == 0) ? "understated" : "accurate"), 0);
		}
		double understated = 0;
		double accurate = 0;
		for (int i = 0; i < 16; i++) {
			Work work = queue.poll(0).orElseThrow();
			boolean isAccurate = work.organisation().equals("accurate");
			queue.finish(work.id(), (isAccurate) ? 10 : 30, 0);
			accurate += (isAccurate) ? 10 : 0;
			understated += (isAccurate) ? 0 : 30;
		}
		assertThat(understated).isWithin(30).of(accurate);
	}

}
