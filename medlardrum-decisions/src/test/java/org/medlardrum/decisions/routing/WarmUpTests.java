package org.medlardrum.decisions.routing;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a host that rehearses while callers wait for it.
 */
class WarmUpTests {

	@ParameterizedTest
	@CsvSource({ "false, 0, 0, true", "false, 3999, 1, true", "false, 4000, 0, false", "true, 4000, 0, true",
			"true, 9000, 0, false", "true, 10, 2, false" })
	void rehearsalEndsWithItsTimeOrWhenCallersNeedTheHost(boolean firstStart, long rehearsedMs, long received,
			boolean goesOn) {
		assertThat(WarmUp.goesOn(firstStart, rehearsedMs, received)).isEqualTo(goesOn);
	}

}
