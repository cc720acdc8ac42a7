package org.medlardrum.entry.internal.fleet;

import java.util.List;
import java.util.Map;

import org.medlardrum.state.Chain;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.Stage;

/**
 * Attributes the measured times of stages to links and engines. The time of a stage
 * beyond its expected time counts as latency of the link if the link connects two
 * availability zones, otherwise as slowdown of the engine.
 */
final class StageTimes {

	private StageTimes() {
	}

	static void recordMeasurements(Chain chain, List<Long> stageTimesUs, String localZone,
			Map<String, ServerState> servers, LinkLatencies links, long nowMs) {
		String from = localZone;
		for (int i = 0; i < stageTimesUs.size(); i++) {
			Stage stage = chain.stages().get(i);
			ServerState state = servers.get(stage.server());
			if (state == null || state.report() == null) {
				return;
			}
			String to = state.server().availabilityZone();
			double expectedUs = expectedUs(state.report(), stage);
			if (i > 0 && !from.equals(to)) {
				links.recordMeasurement(from, to, Math.max(0, stageTimesUs.get(i) - expectedUs), nowMs);
			}
			else if (expectedUs > 0) {
				state.recordSlowdown(stageTimesUs.get(i) / (expectedUs + LinkLatencies.DEFAULT_LATENCY_US), nowMs);
			}
			from = to;
		}
	}

	private static double expectedUs(EngineReport report, Stage stage) {
		double load = Math.max(1, (report.running() + report.queued()) / (double) Math.max(1, report.slots()));
		return report.layerTimeUs() * load * (stage.toLayer() - stage.fromLayer());
	}

}
