package org.medlardrum.decisions.routing;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against accepting a revoked key on a host that was isolated or suspended, or
 * whose wall clock jumped.
 */
class ConfigFreshnessTests {

	private static final long MAX_AGE_MS = 4_700;

	private final ConfigFreshness freshness = new ConfigFreshness(MAX_AGE_MS);

	@Test
	void nothingIsFreshBeforeTheFirstConfirmation() {
		assertThat(this.freshness.isFresh(0, 0)).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "4700, 4700, true", "4701, 4701, false",
			// Only the wall clock includes a suspension of 6 s.
			"100, 6100, false",
			// A backward jump of the wall clock must not prolong the freshness.
			"4701, 2701, false", "1000, -1400, true" })
	void ageIsTheLargerDifference(long monotonicPassedMs, long wallPassedMs, boolean fresh) {
		this.freshness.recordConfirmation(10_000, 1_000_000);
		assertThat(this.freshness.isFresh(10_000 + monotonicPassedMs, 1_000_000 + wallPassedMs)).isEqualTo(fresh);
	}

	@Test
	void olderConfirmationDoesNotReplaceALaterOne() {
		this.freshness.recordConfirmation(10_000, 1_000_000);
		this.freshness.recordConfirmation(5_000, 995_000);
		assertThat(this.freshness.ageMs(10_000, 1_000_000)).isEqualTo(0);
	}

}
