package org.medlardrum.decisions;

import org.medlardrum.state.CircuitState;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.EngineState;

/**
 * Decides whether an engine may run layers of the model for a request.
 */
final class EngineFilter {

	static final String OTHER_MODEL = "other model";

	private EngineFilter() {
	}

	// Returns the reason why the engine cannot be used, null when it can. The reasons are
	// part of recorded traces, which a replay compares literally.
	static String reject(EngineState engine, ChainQuery query) {
		EngineReport report = engine.report();
		if (report == null) {
			return "no report";
		}
		if (!query.model().equals(report.model()) || !holdsLayers(report, query)) {
			return OTHER_MODEL;
		}
		if (engine.leaving() || report.leaving()) {
			return "leaving";
		}
		if (!query.version().isEmpty() && !query.version().equals(report.version())) {
			return "other version";
		}
		if (!query.excludedServers().isEmpty() && query.excludedServers().contains(engine.server().id())) {
			return "excluded";
		}
		if (query.suspect() && hasOtherSuspect(engine, query)) {
			return "runs another suspect";
		}
		return rejectByCircuit(engine, query);
	}

	private static String rejectByCircuit(EngineState engine, ChainQuery query) {
		if (engine.circuit() == CircuitState.OPEN) {
			return "circuit open";
		}
		// A suspect is not used as a probe: it may fail for a reason of its own, which
		// would say nothing about the engine.
		if (engine.circuit() == CircuitState.HALF_OPEN && (engine.ownInFlight() > 0 || query.suspect())) {
			return "circuit half open";
		}
		return null;
	}

	private static boolean holdsLayers(EngineReport report, ChainQuery query) {
		return report.fromLayer() >= 0 && report.fromLayer() < Math.min(report.toLayer(), query.layerCount());
	}

	private static boolean hasOtherSuspect(EngineState engine, ChainQuery query) {
		for (String fingerprint : engine.suspectFingerprints()) {
			if (!fingerprint.equals(query.fingerprint())) {
				return true;
			}
		}
		return false;
	}

}
