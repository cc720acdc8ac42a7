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
	 * @param movesSilent whether silent streams move before a report names the engine at
	 * fault
	 * @param usesSuspects whether a suspect engine shortens the silence that is waited
	 * for
	 * @param drawsZone whether moved streams draw the zone of their next chain
	 * @param keepsFirst whether a stream keeps its chain until the next one answers
	 */
	record ChainSearching(String name, long digestMs, long urgentDigestMs, boolean movesSilent, boolean usesSuspects,
			boolean drawsZone, boolean keepsFirst) implements RoutingPolicy {
	}

}
