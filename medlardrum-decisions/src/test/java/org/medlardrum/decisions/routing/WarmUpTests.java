package org.medlardrum.decisions.routing;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a host that rehearses while callers wait for it.
 */
class WarmUpTests {

	@ParameterizedTest
	@CsvSource({ "0, 0, true", "2999, 1, true", "3000, 0, false", "10, 2, false" })
	void rehearsalEndsWithItsTimeOrWhenCallersNeedTheHost(long sinceStartMs, long received, boolean goesOn) {
		assertThat(WarmUp.goesOn(sinceStartMs, received)).isEqualTo(goesOn);
	}

}
