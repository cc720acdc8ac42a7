package org.medlardrum.standins;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a bound that is too low or too high. Measured throughput is reported as
 * a fraction of this bound, so a wrong bound makes every such fraction wrong.
 */
class ThroughputBoundTests {

	// With 10 slots and 1 ms for each layer, an engine runs 10,000 layer steps per
	// second.
	private static EngineSettings engine(String id, int fromLayer, int toLayer) {
		return EngineSettings.of(id, "tally", fromLayer, toLayer).withSpeed(10, 1000);
	}

	@Test
	void slowestRangeLimitsDisjointRanges() {
		List<EngineSettings> engines = List.of(engine("a", 0, 10), engine("b", 10, 30), engine("c", 10, 30));
		// Engine a runs 1,000 tokens per second over its 10 layers, engines b and c 500
		// each over their 20 layers.
		assertThat(ThroughputBound.wholeRanges(engines, 30)).isWithin(1e-6).of(1000);
		assertThat(ThroughputBound.splitRanges(engines, 30)).isWithin(1e-3).of(1000);
	}

	@Test
	void overlappingEngineAddsCapacityToOneRangeOnlyWhenRangesMaySplit() {
		List<EngineSettings> engines = List.of(engine("a", 0, 10), engine("b", 10, 30), engine("c", 0, 30));
		// Whole ranges: layers 10 to 30 are limited to 500 + 333 tokens per second. Split
		// ranges: 30,000 layer steps per second are spread over 30 layers.
		assertThat(ThroughputBound.wholeRanges(engines, 30)).isWithin(1e-6).of(500 + 10_000 / 30.0);
		assertThat(ThroughputBound.splitRanges(engines, 30)).isWithin(1e-3).of(1000);
	}

	@Test
	void layersOnBothSidesOfAGapCanLimitTheThroughput() {
		// Only engine a holds layers 0 to 10 and 20 to 30, and it also holds the layers
		// between them. Its 10,000 layer steps per second are spread over these 20
		// layers.
		List<EngineSettings> engines = List.of(engine("a", 0, 30), engine("b", 10, 20), engine("c", 10, 20),
				engine("d", 10, 20));
		assertThat(ThroughputBound.splitRanges(engines, 30)).isWithin(1e-3).of(500);
	}

	@Test
	void layerWithoutEngineGivesNoThroughput() {
		List<EngineSettings> engines = List.of(engine("a", 0, 10), engine("b", 11, 20));
		assertThat(ThroughputBound.wholeRanges(engines, 20)).isEqualTo(0.0);
		assertThat(ThroughputBound.splitRanges(engines, 20)).isWithin(1e-3).of(0);
	}

}
