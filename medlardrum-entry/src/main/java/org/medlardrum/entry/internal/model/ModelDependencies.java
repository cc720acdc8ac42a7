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
 * Dependencies of model requests on the rest of the host.
 *
 * @param client client of the engines
 * @param fleet last reported state of the engines
 * @param crashDetector detects crashed engines
 * @param gossip shares crash suspects and quarantines between hosts
 * @param retries retry budget of the host
 * @param traces records decisions and the history of requests
 * @param metrics the metrics of the host
 * @param clock the clock
 * @param timeouts timeouts of an attempt
 * @param planner chooses the chain of each attempt
 */
public record ModelDependencies(EngineClient client, Fleet fleet, CrashDetector crashDetector, Gossip gossip,
		Retries retries, Traces traces, Metrics metrics, InstantSource clock, AttemptTimeouts timeouts,
		ChainPolicy planner) {
}
