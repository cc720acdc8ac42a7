package org.medlardrum.standins.internal.model;

/**
 * How entry hosts choose chains and when streams fail over to another chain.
 */
public sealed interface RoutingPolicy {

	/**
	 * Returns the name of the policy in reports.
	 * @return the name
	 */
	String name();

	/**
	 * The baseline: each host uses the chain of its availability zone, or that of the
	 * next zone if that one refuses, and leaves a stalled chain only after a report names
	 * the failed engine.
	 *
	 * @param name name in reports
	 */
	record NearestChain(String name) implements RoutingPolicy {
	}

	/**
	 * The product's routing decisions: each host searches for a chain for each request.
	 *
	 * @param name name in reports
	 * @param digestMs interval between the digests of a host, in milliseconds
	 * @param urgentDigestMs minimum interval between digests that send a new suspicion at
	 * once, in milliseconds; 0 to send it with the next regular digest
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
