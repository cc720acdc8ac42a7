package org.medlardrum.state;

import java.util.Set;

/**
 * State of an engine as recorded by one entry host at the time of a decision.
 *
 * @param server the engine's entry in the host list
 * @param report the newest report
 * @param reportAgeMs age of the report, in milliseconds
 * @param ownInFlight this entry host's sequences on the engine, which the report may not
 * include yet
 * @param circuit state of the engine's circuit breaker
 * @param rampShare fraction of the full load that the engine may receive during slow
 * start, 0 to 1
 * @param observedSlowdown measured stage time divided by the expected stage time, 1 when
 * as expected
 * @param suspectFingerprints fingerprints of requests on the engine that are suspected to
 * crash engines
 * @param leaving whether the host list, the report or another entry host states that the
 * engine is leaving
 */
public record EngineState(BackendServer server, EngineReport report, long reportAgeMs, int ownInFlight,
		CircuitState circuit, double rampShare, double observedSlowdown, Set<String> suspectFingerprints,
		boolean leaving) {
}
