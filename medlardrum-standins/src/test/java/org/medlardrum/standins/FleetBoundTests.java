package org.medlardrum.standins;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a bound that is too low or too high: every throughput share is measured
 * against it.
 */
class FleetBoundTests {

	// 10 slots and 1 ms a layer: 10,000 layer steps per second.
	private static EngineSettings engine(String id, int fromLayer, int toLayer) {
		return EngineSettings.of(id, "tally", fromLayer, toLayer).withSpeed(10, 1000);
	}

	@Test
	void slowestRangeLimitsDisjointRanges() {
		List<EngineSettings> engines = List.of(engine("a", 0, 10), engine("b", 10, 30), engine("c", 10, 30));
		assertThat(FleetBound.wholeRanges(engines, 30)).isWithin(1e-6).of(1000);
		assertThat(FleetBound.splitRanges(engines, 30)).isWithin(1e-3).of(1000);
	}

	@Test
	void overlappingEngineHelpsTheShortRangeOnlyWhenRangesMaySplit() {
		List<EngineSettings> engines = List.of(engine("a", 0, 10), engine("b", 10, 30), engine("c", 0, 30));
		// Whole: layers 10 to 30 have 500 + 333. Split: 30,000 steps over 30 layers.
		assertThat(FleetBound.wholeRanges(engines, 30)).isWithin(1e-6).of(500 + 10_000 / 30.0);
		assertThat(FleetBound.splitRanges(engines, 30)).isWithin(1e-3).of(1000);
	}

	@Test
	void setOfLayersOnBothSidesOfAGapCanBeTheShortest() {
		// Layers 0 to 10 and 20 to 30 have only the one engine that also holds the gap.
		List<EngineSettings> engines = List.of(engine("a", 0, 30), engine("b", 10, 20), engine("c", 10, 20),
				engine("d", 10, 20));
		assertThat(FleetBound.splitRanges(engines, 30)).isWithin(1e-3).of(500);
	}

	@Test
	void layerWithoutEngineGivesNoThroughput() {
		List<EngineSettings> engines = List.of(engine("a", 0, 10), engine("b", 11, 20));
		assertThat(FleetBound.wholeRanges(engines, 20)).isEqualTo(0.0);
		assertThat(FleetBound.splitRanges(engines, 20)).isWithin(1e-3).of(0);
	}

}
