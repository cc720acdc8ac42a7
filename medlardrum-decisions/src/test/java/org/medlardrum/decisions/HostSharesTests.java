package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.Rank;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against hosts or organisations with high demand that take capacity of the pool
 * from the others.
 */
class HostSharesTests {

	private static final double POOL_COST_PER_S = 10_000;

	private static HostDemand demand(int id, Map<String, Long> organisations, long unlisted) {
		long total = organisations.values().stream().mapToLong(Long::longValue).sum() + unlisted;
		return new HostDemand("host" + id, Map.of(Rank.STANDARD, total), organisations, 0);
	}

	private static HostShares shares(int own, List<HostDemand> demands, int hosts, Map<String, Double> weights) {
		return HostShares.of("host" + own, demands, hosts, weights, POOL_COST_PER_S);
	}

	@Test
	void followsDemandBelowCapacityAndNeverFallsBelowHalfAnEqualShare() {
		List<HostDemand> demands = List.of(demand(0, Map.of("a", 3000L), 0), demand(1, Map.of("a", 1000L), 0),
				demand(2, Map.of(), 0), demand(3, Map.of(), 0));
		assertThat(shares(0, demands, 4, Map.of()).windowShare()).isWithin(1e-9).of(0.75);
		assertThat(shares(1, demands, 4, Map.of()).windowShare()).isWithin(1e-9).of(0.25);
		assertThat(shares(2, demands, 4, Map.of()).windowShare()).isWithin(1e-9).of(0.125);
		assertThat(shares(0, List.of(), 4, Map.of()).windowShare()).isWithin(1e-9).of(0.25);
	}

	@Test
	void keepsTheWindowsOfSmallHostsBesideAFloodOfOneOrganisation() {
		List<HostDemand> demands = new ArrayList<>();
		demands.add(demand(0, Map.of("large", 1_000_000L), 0));
		for (int i = 1; i < 10; i++) {
			demands.add(demand(i, Map.of("small" + i, 900L), 50));
		}
		double sum = 0;
		for (int i = 0; i < 10; i++) {
			double share = shares(i, demands, 10, Map.of()).windowShare();
			sum += share;
			if (i > 0) {
				// The host's own demand is 900 + 50.
				assertWithMessage("host %s", i).that(share * POOL_COST_PER_S).isAtLeast(0.95 * 950);
			}
		}
		assertThat(sum).isWithin(0.01).of(1);
	}

	@Test
	void dividesAnOverloadedPoolByWeight() {
		Map<String, Double> weights = Map.of("a", 3.0, "b", 1.0, "c", 1.0);
		List<HostDemand> demands = List.of(demand(0, Map.of("a", 50_000L, "b", 50_000L), 0),
				demand(1, Map.of("a", 50_000L, "c", 1000L), 0));
		HostShares first = shares(0, demands, 2, weights);
		HostShares second = shares(1, demands, 2, weights);
		double a = first.organisationCostPerS("a") + second.organisationCostPerS("a");
		assertThat(a).isWithin(1).of(3 * first.organisationCostPerS("b"));
		assertThat(second.organisationCostPerS("c")).isAtLeast(1000.0);
		assertThat(first.windowShare() + second.windowShare()).isWithin(1e-9).of(1);
		// c receives its 1000 in full; a and b divide the remaining 9000 by 3 to 1. Half
		// of the demand of a and all of the demand of b are at the first host.
		assertThat(first.windowShare()).isWithin(0.01).of((9000.0 * 3 / 4 / 2 + 9000.0 / 4) / POOL_COST_PER_S);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void sharesAddUpToThePoolWhenComputedFromSamplesOfTwentyHosts(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<HostDemand> demands = new ArrayList<>();
		for (int i = 0; i < 420; i++) {
			Map<String, Long> organisations = new HashMap<>();
			organisations.put("large", 10 + random.nextLong(100));
			organisations.put("o" + random.nextInt(400), random.nextLong(20));
			demands.add(demand(i, organisations, random.nextInt(10)));
		}
		double sum = 0;
		for (int own = 0; own < 420; own++) {
			List<HostDemand> sample = new ArrayList<>();
			sample.add(demands.get(own));
			for (int i = 1; i < 20; i++) {
				sample.add(demands.get(random.nextInt(420)));
			}
			sum += shares(own, sample, 420, Map.of()).windowShare();
		}
		assertThat(sum).isWithin(0.15).of(1);
	}

}
