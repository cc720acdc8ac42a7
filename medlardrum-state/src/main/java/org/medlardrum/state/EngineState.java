package org.medlardrum.state;

import java.util.Set;

/**
 * What one entry host knows about an engine at the time of a decision.
 *
 * @param server the engine as listed
 * @param report the newest report
 * @param reportAgeMs age of the report
 * @param ownInFlight sequences of this entry host on the engine that the report may not
 * include yet
 * @param circuit state of the engine's circuit breaker
 * @param rampShare share of full load that the engine may get during slow start, 0 to 1
 * @param observedSlowdown measured stage time over expected stage time, 1 when as
 * expected
 * @param suspectFingerprints request fingerprints on the engine that are crash suspects
 * @param leaving whether the list, the report or a peer says that the engine is leaving
 */
public record EngineState(BackendServer server, EngineReport report, long reportAgeMs, int ownInFlight,
		CircuitState circuit, double rampShare, double observedSlowdown, Set<String> suspectFingerprints,
		boolean leaving) {
}
