package org.medlardrum.standins.internal.model;

/**
 * How entry hosts choose chains and when they move streams.
 */
public sealed interface RoutingPolicy {

	/**
	 * Returns the name in reports.
	 * @return the name
	 */
	String name();

	/**
	 * The baseline: each host uses the chain of its availability zone, the next zone's
	 * when that refuses, and waits for a report before it leaves a silent chain.
	 *
	 * @param name name in reports
	 */
	record NearestChain(String name) implements RoutingPolicy {
	}

	/**
	 * The product's decisions.
	 *
	 * @param name name in reports
	 * @param digestMs time between two digests of a host
	 * @param urgentDigestMs shortest time until a new suspicion is told, 0 for with the
	 * next digest
	 * @param failsOverOnStall whether a stalled stream fails over before a report names
	 * the failed engine
	 * @param usesSuspicions whether a suspect engine in the chain lowers the stall
	 * threshold
	 * @param randomFailoverZone whether a failover prefers a randomly chosen availability
	 * zone rather than that of the entry host
	 * @param keepsOriginalChain whether a stream keeps its chain until the failover chain
	 * delivers an event
	 */
	record ChainSearching(String name, long digestMs, long urgentDigestMs, boolean failsOverOnStall,
			boolean usesSuspicions, boolean randomFailoverZone, boolean keepsOriginalChain) implements RoutingPolicy {
	}

}
