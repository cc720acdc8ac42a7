package org.medlardrum.decisions;

import java.util.List;
import java.util.Set;

import org.medlardrum.state.BackendServer;
import org.medlardrum.state.BackendServerKind;
import org.medlardrum.state.CircuitState;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.EngineState;
import org.medlardrum.state.HostState;
import org.medlardrum.state.Rank;

/**
 * Immutable builder of engine states for tests, with factory methods for queries. Each
 * {@code with} method returns a copy with changed properties.
 */
record EngineBuilder(String id, String zone, int fromLayer, int toLayer, int slots, int running, long layerTimeUs,
		List<String> adapters, long reportAgeMs, int ownInFlight, CircuitState circuit, double rampShare,
		double slowdown, Set<String> suspects, boolean leaving, boolean reportLeaving) {

	static EngineBuilder engine(String id, int fromLayer, int toLayer) {
		return new EngineBuilder(id, "hr-central-1", fromLayer, toLayer, 16, 0, 100, List.of(), 100, 0,
				CircuitState.CLOSED, 1, 1, Set.of(), false, false);
	}

	static ChainQuery query(int layers) {
		return new ChainQuery("r1", "tally", "v1", "", layers, Rank.URGENT, 100, 100, "", "f1", false, Set.of());
	}

	static ChainQuery suspect(int layers) {
		return new ChainQuery("r1", "tally", "v1", "", layers, Rank.URGENT, 100, 100, "", "f1", true, Set.of());
	}

	EngineBuilder withZone(String value) {
		return new EngineBuilder(this.id, value, this.fromLayer, this.toLayer, this.slots, this.running,
				this.layerTimeUs, this.adapters, this.reportAgeMs, this.ownInFlight, this.circuit, this.rampShare,
				this.slowdown, this.suspects, this.leaving, this.reportLeaving);
	}

	EngineBuilder withLayerTime(long valueUs) {
		return new EngineBuilder(this.id, this.zone, this.fromLayer, this.toLayer, this.slots, this.running, valueUs,
				this.adapters, this.reportAgeMs, this.ownInFlight, this.circuit, this.rampShare, this.slowdown,
				this.suspects, this.leaving, this.reportLeaving);
	}

	EngineBuilder withLoad(int runningValue, int ownValue, long ageMs) {
		return new EngineBuilder(this.id, this.zone, this.fromLayer, this.toLayer, this.slots, runningValue,
				this.layerTimeUs, this.adapters, ageMs, ownValue, this.circuit, this.rampShare, this.slowdown,
				this.suspects, this.leaving, this.reportLeaving);
	}

	EngineBuilder withAdapter(String value) {
		return new EngineBuilder(this.id, this.zone, this.fromLayer, this.toLayer, this.slots, this.running,
				this.layerTimeUs, List.of(value), this.reportAgeMs, this.ownInFlight, this.circuit, this.rampShare,
				this.slowdown, this.suspects, this.leaving, this.reportLeaving);
	}

	EngineBuilder withCircuit(CircuitState value) {
		return new EngineBuilder(this.id, this.zone, this.fromLayer, this.toLayer, this.slots, this.running,
				this.layerTimeUs, this.adapters, this.reportAgeMs, this.ownInFlight, value, this.rampShare,
				this.slowdown, this.suspects, this.leaving, this.reportLeaving);
	}

	EngineBuilder withRampAndSlowdown(double ramp, double slowdownValue) {
		return new EngineBuilder(this.id, this.zone, this.fromLayer, this.toLayer, this.slots, this.running,
				this.layerTimeUs, this.adapters, this.reportAgeMs, this.ownInFlight, this.circuit, ramp, slowdownValue,
				this.suspects, this.leaving, this.reportLeaving);
	}

	EngineBuilder withSuspect(String fingerprint) {
		return new EngineBuilder(this.id, this.zone, this.fromLayer, this.toLayer, this.slots, this.running,
				this.layerTimeUs, this.adapters, this.reportAgeMs, this.ownInFlight, this.circuit, this.rampShare,
				this.slowdown, Set.of(fingerprint), this.leaving, this.reportLeaving);
	}

	EngineBuilder withLeaving(boolean listed, boolean reported) {
		return new EngineBuilder(this.id, this.zone, this.fromLayer, this.toLayer, this.slots, this.running,
				this.layerTimeUs, this.adapters, this.reportAgeMs, this.ownInFlight, this.circuit, this.rampShare,
				this.slowdown, this.suspects, listed, reported);
	}

	EngineState build() {
		BackendServer server = new BackendServer(this.id, this.zone, "127.0.0.1:1", "engines", BackendServerKind.ENGINE,
				"a", HostState.LIVE);
		EngineReport report = new EngineReport(this.id, "boot", "tally", "v1", this.adapters, "both", this.fromLayer,
				this.toLayer, this.slots, this.running, 0, this.layerTimeUs, this.reportLeaving, false, 0);
		return new EngineState(server, report, this.reportAgeMs, this.ownInFlight, this.circuit, this.rampShare,
				this.slowdown, this.suspects, this.leaving);
	}

}
