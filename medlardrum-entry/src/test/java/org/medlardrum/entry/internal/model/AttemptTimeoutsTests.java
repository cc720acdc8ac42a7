package org.medlardrum.entry.internal.model;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against abandoning attempts of background requests that only wait for urgent
 * ones.
 */
class AttemptTimeoutsTests {

	@ParameterizedTest
	@CsvSource({ "27, 1500", "80, 1600", "400, 8000" })
	void ranksWithALongTargetHaveALongerStallTimeout(long betweenTokensTargetMs, long expectedMs) {
		assertThat(new AttemptTimeouts(10_000, 1500).stallTimeoutMs(betweenTokensTargetMs)).isEqualTo(expectedMs);
	}

}
