package org.medlardrum.decisions.routing;

import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against refused callers that return together, and against times that a caller
 * would not honour.
 */
class RetryAfterTests {

	@ParameterizedTest
	@ValueSource(longs = { 100, 3_000, 20_000 })
	void timeIsWithinAThirdOfWhatTheCallerHasLeft(long remainingMs) {
		Random random = new Random(7);
		for (int i = 0; i < 1_000; i++) {
			assertThat(RetryAfter.overloadedMs(2, remainingMs, random)).isAtMost(Math.max(1, remainingMs / 3));
		}
	}

	@Test
	void returnsAreSpreadOverSeconds() {
		Random random = new Random(7);
		int[] perSecond = new int[8];
		for (int i = 0; i < 1_000; i++) {
			perSecond[(int) (RetryAfter.overloadedMs(0, 20_000, random) / 500)]++;
		}
		for (int count : perSecond) {
			assertThat(count).isAtMost(400);
		}
	}

}
