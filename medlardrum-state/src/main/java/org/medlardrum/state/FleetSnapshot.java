package org.medlardrum.state;

import java.util.List;

/**
 * Immutable view of the engines of one pool that a decision is made from.
 *
 * @param localAvailabilityZone availability zone of the deciding entry host
 * @param engines engines of the pool
 * @param links links between availability zones; a missing link has the default latency
 * @param defaultLinkLatencyUs latency of links that are not listed, in microseconds
 */
public record FleetSnapshot(String localAvailabilityZone, List<EngineState> engines, List<LinkState> links,
		long defaultLinkLatencyUs) {

	public FleetSnapshot {
		engines = List.copyOf(engines);
		links = List.copyOf(links);
	}

}
