package org.medlardrum.standins.internal.model;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import com.google.gson.Gson;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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

	/**
	 * Guards against callers who are served too little while most KV cache is free: the
	 * slots of the first engines of a zone were used up, and after a joint loss of four
	 * engines the streams that held them for longer kept the pool down. Zones, surges and
	 * losses are those of the users' sheet, and so is the least share.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void poolOfManyEnginesIsNotShortOfFirstEngines(long seed) throws IOException {
		double leastShare = 0.6;
		ExperimentFile file = new Gson().fromJson(
				Files.readString(Path.of("..", "deploy", "experiments", "surges-many-engines.json")),
				ExperimentFile.class);
		ExperimentFile experiment = new ExperimentFile(file.name(), seed, 12, file.hostsPerZone(), file.pool(),
				file.engines(), file.requests(), file.floods(), file.losses());
		PoolExperiment results = PoolExperiment.run(experiment, List.of(PoolExperiment.POLICIES.getLast()));
		assertThat(results.onTimeFraction("product")).isAtLeast(leastShare);
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
