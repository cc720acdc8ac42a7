package org.medlardrum.decisions.routing;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against callers that are refused twice while all hosts restart, and against
 * requests that wait on a host that cannot reach the store.
 */
class StartupWaitTests {

	@ParameterizedTest
	@CsvSource({ "0, 0, true", "300, 300, true", "600, 100, true", "600, 450, false", "1299, 0, true", "1300, 0, false",
			"60000, 0, false" })
	void waitsOnlyRightAfterTheStart(long sinceStartMs, long waitedMs, boolean waits) {
		assertThat(StartupWait.waits(sinceStartMs, waitedMs)).isEqualTo(waits);
	}

}
