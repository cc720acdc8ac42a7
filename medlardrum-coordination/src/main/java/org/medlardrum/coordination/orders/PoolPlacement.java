package org.medlardrum.coordination.orders;

import java.util.List;

import org.medlardrum.decisions.pool.PlacementServer;
import org.medlardrum.state.routing.ModelPool;

/**
 * A pool whose layers are to be placed, and its engines.
 *
 * @param pool parameters of the pool
 * @param servers engines that accept requests, with the layers that they hold
 */
public record PoolPlacement(ModelPool pool, List<PlacementServer> servers) {

	public PoolPlacement {
		servers = List.copyOf(servers);
	}

}
