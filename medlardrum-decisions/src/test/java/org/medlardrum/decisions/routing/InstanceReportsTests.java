package org.medlardrum.decisions.routing;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.state.routing.ServiceInstance;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a server that is used again, after it was draining or removed, because
 * the registry was restored from an older copy.
 */
class InstanceReportsTests {

	private static final long RESTORED_MS = 10_000;

	private final InstanceReports reports = new InstanceReports();

	private static ServiceInstance report(long startedAtMs, long number, boolean draining) {
		return new ServiceInstance("s", "pool", "127.0.0.1:9", "a", 8, draining, startedAtMs, "", Optional.empty(),
				number);
	}

	@ParameterizedTest
	@CsvSource({ "5, 6, true", "5, 9, true", "7, 1, false" })
	void onlyANewStartEndsDraining(long startedAtMs, long number, boolean draining) {
		this.reports.update(List.of(report(5, 7, true)), 1_000);
		List<ServiceInstance> current = this.reports.update(List.of(report(startedAtMs, number, false)), 2_000);
		assertThat(current.getFirst().draining()).isEqualTo(draining);
	}

	@ParameterizedTest
	@CsvSource({ "4, 0, 0", "5, 6, 0", "5, 7, 0", "5, 8, 1", "6, 1, 1" })
	void removedServerStaysRemovedUntilItReportsAgain(long startedAtMs, long number, int servers) {
		this.reports.update(List.of(report(5, 7, false)), 1_000);
		this.reports.update(List.of(), 2_000);
		this.reports.recordRestore(RESTORED_MS);
		assertThat(this.reports.update(List.of(report(startedAtMs, number, false)), RESTORED_MS)).hasSize(servers);
	}

	@Test
	void olderReportIsReplacedByTheNewestUntilTheWindowEnds() {
		this.reports.update(List.of(report(5, 7, false)), 1_000);
		this.reports.recordRestore(RESTORED_MS);
		assertThat(this.reports.update(List.of(report(5, 3, false)), RESTORED_MS).getFirst().reportNumber())
			.isEqualTo(7);
		long endMs = RESTORED_MS + InstanceReports.RESTORE_WINDOW_MS;
		assertThat(this.reports.update(List.of(report(5, 3, false)), endMs).getFirst().reportNumber()).isEqualTo(3);
	}

	@Test
	void serverThatLapsedAndIsBackWithoutARestoreIsUsedAgain() {
		this.reports.update(List.of(report(5, 7, false)), 1_000);
		this.reports.update(List.of(), 2_000);
		assertThat(this.reports.update(List.of(report(5, 7, false)), 3_000)).hasSize(1);
	}

}
