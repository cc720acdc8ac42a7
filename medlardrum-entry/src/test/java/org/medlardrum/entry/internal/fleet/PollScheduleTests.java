package org.medlardrum.entry.internal.fleet;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a rate of polls that grows with the number of backend servers.
 */
class PollScheduleTests {

	@ParameterizedTest
	@CsvSource({ "true, 3000, 5000", "false, 40, 60000", "false, 3000, 3000000" })
	void pollsOfServersOfOtherHostsStayBelowOnePerSecond(boolean ownServer, int servers, long expectedMs) {
		assertThat(PollSchedule.intervalMs(ownServer, servers, 5000)).isEqualTo(expectedMs);
	}

}
