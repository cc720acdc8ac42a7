package org.medlardrum.gateway.internal.stream;

import java.util.function.Consumer;

import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.request.EngineReports;
import org.medlardrum.gateway.internal.request.RequestDependencies;

/**
 * Requests the report of a stalled stream's first engine to find the server that the
 * stream waits for. An engine that does not respond in time is itself considered the
 * cause.
 */
final class StallProbe {

	private final RequestDependencies dependencies;

	private final Consumer<Signal> sink;

	StallProbe(RequestDependencies dependencies, Consumer<Signal> sink) {
		this.dependencies = dependencies;
		this.sink = sink;
	}

	void probe(BackendCall stalledCall, String requestId) {
		this.dependencies.reports()
			.ask(stalledCall.address(), (outcome) -> this.sink
				.accept(new Signal.StallDiagnosis(stalledCall, faultyAddress(outcome, stalledCall, requestId))));
	}

	private static String faultyAddress(EngineReports.Outcome outcome, BackendCall stalledCall, String requestId) {
		return switch (outcome) {
			case EngineReports.Unreachable unreachable -> stalledCall.address();
			case EngineReports.Reported reported ->
				reported.status().map((engine) -> engine.awaitedServers().getOrDefault(requestId, "")).orElse("");
		};
	}

}
