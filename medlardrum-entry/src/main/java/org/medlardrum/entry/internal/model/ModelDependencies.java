package org.medlardrum.entry.internal.model;

import java.time.InstantSource;

import org.medlardrum.coordination.gossip.Gossip;
import org.medlardrum.decisions.ChainPolicy;
import org.medlardrum.entry.internal.fleet.CrashDetector;
import org.medlardrum.entry.internal.fleet.Fleet;
import org.medlardrum.entry.internal.host.Metrics;
import org.medlardrum.entry.internal.host.Retries;
import org.medlardrum.entry.internal.host.Traces;
import org.medlardrum.transport.EngineClient;

/**
 * What model requests need from the rest of the host.
 *
 * @param client client of the engines
 * @param fleet knowledge about the engines
 * @param crashes crash detector
 * @param gossip crash facts
 * @param retries retry budget
 * @param traces recorded decisions
 * @param metrics metrics
 * @param clock the clock
 * @param timeouts timeouts of an attempt
 * @param planner chooses the chains
 */
public record ModelDependencies(EngineClient client, Fleet fleet, CrashDetector crashes, Gossip gossip, Retries retries,
		Traces traces, Metrics metrics, InstantSource clock, AttemptTimeouts timeouts, ChainPolicy planner) {
}
