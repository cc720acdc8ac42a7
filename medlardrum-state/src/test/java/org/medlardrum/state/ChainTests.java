package org.medlardrum.state;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against chains that skip or repeat layers.
 */
class ChainTests {

	@ParameterizedTest
	@CsvSource({ "0-8 8-16, true", "0-16, true", "0-8 9-16, false", "0-8 7-16, false", "8-16 0-8, false",
			"0-8, false" })
	void coversOnlyWhenEachLayerRunsOnceInOrder(String ranges, boolean expected) {
		List<Stage> stages = new ArrayList<>();
		for (String range : ranges.split(" ")) {
			String[] bounds = range.split("-");
			stages.add(new Stage("engine", "127.0.0.1:1", Integer.parseInt(bounds[0]), Integer.parseInt(bounds[1])));
		}
		assertThat(new Chain(stages).covers(16)).isEqualTo(expected);
	}

}
