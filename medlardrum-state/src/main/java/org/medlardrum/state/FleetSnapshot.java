package org.medlardrum.state;

import java.util.List;

/**
 * Immutable input of a decision about the engines of one pool.
 *
 * @param localAvailabilityZone availability zone of the entry host that decides
 * @param engines engines of the pool
 * @param links links between availability zones; an unlisted link has the default latency
 * @param defaultLinkLatencyUs latency of links that are not listed, in microseconds
 */
public record FleetSnapshot(String localAvailabilityZone, List<EngineState> engines, List<LinkState> links,
		long defaultLinkLatencyUs) {

	public FleetSnapshot {
		engines = List.copyOf(engines);
		links = List.copyOf(links);
	}

}
