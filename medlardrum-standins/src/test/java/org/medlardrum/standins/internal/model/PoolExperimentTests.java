package org.medlardrum.standins.internal.model;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a simulation whose results depend on more than its input, and against
 * routing decisions that are late under a light load or do worse than the baseline when
 * engines fail.
 */
class PoolExperimentTests {

	private static final Map<String, ExperimentFile.Kind> KINDS = Map.of("fast", new ExperimentFile.Kind(72_000, 2, 2));

	private static final ExperimentFile.Pool POOL = new ExperimentFile.Pool(16, 1_750, 800_000, 1, 0.01, 0.01, 200,
			40_000, 13_000, 0.6, KINDS, new ExperimentFile.Engine(2, 512, 100, 200, 3_600));

	private static ExperimentFile experiment(double perS, List<ExperimentFile.Loss> losses) {
		return new ExperimentFile("test", 7, 8, Map.of("a", 2, "b", 2, "c", 2), POOL,
				List.of(new ExperimentFile.EngineGroup("a", "fast", 2), new ExperimentFile.EngineGroup("b", "fast", 2),
						new ExperimentFile.EngineGroup("c", "fast", 2)),
				List.of(new ExperimentFile.RequestKind("urgent", 0, perS, 800, 160, 4, 500, 100)), List.of(), losses);
	}

	private static List<ExperimentFile.Loss> losses() {
		return List.of(new ExperimentFile.Loss(2, "a", null, 1, 4), new ExperimentFile.Loss(5, "b", null, 1, 2));
	}

	@Test
	void sameInputGivesTheSameReport() {
		ExperimentFile experiment = experiment(30, losses());
		assertThat(PoolExperiment.run(experiment, PoolExperiment.POLICIES).lines())
			.isEqualTo(PoolExperiment.run(experiment, PoolExperiment.POLICIES).lines());
	}

	@Test
	void allPoliciesServeALightLoadOnTime() {
		PoolExperiment results = PoolExperiment.run(experiment(20, List.of()), PoolExperiment.POLICIES);
		PoolExperiment.POLICIES.forEach((policy) -> assertThat(results.onTimeFraction(policy.name())).isAtLeast(0.99));
	}

	/**
	 * Replays the failure of two engines. Streams that wait for a report of the failure
	 * are late more often than streams that fail over.
	 */
	@Test
	void streamsThatFailOverAreOnTimeMoreOftenThanThoseThatWait() {
		PoolExperiment results = PoolExperiment.run(experiment(30, losses()), PoolExperiment.POLICIES);
		assertThat(results.onTimeFraction("product")).isGreaterThan(results.onTimeFraction("search"));
		assertThat(results.onTimeFraction("product")).isGreaterThan(results.onTimeFraction("nearest"));
	}

	@Test
	void everyRequestEndsOnce() {
		ExperimentFile experiment = experiment(200, losses());
		PoolExperiment.POLICIES.forEach((policy) -> {
			List<StreamResult> results = new PoolModel(experiment, policy).run();
			assertThat(results.size()).isAtLeast(1_000);
			assertThat(results.stream().filter(StreamResult::isOnTime).allMatch((stream) -> stream.attempts() > 0))
				.isTrue();
		});
	}

	@Test
	void plotHasALineForEachPolicy() {
		PoolExperiment results = PoolExperiment.run(experiment(5, List.of()), PoolExperiment.POLICIES);
		assertThat(results.plot().split("<polyline", -1)).hasLength(PoolExperiment.POLICIES.size() + 1);
	}

}
