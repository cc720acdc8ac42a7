package org.medlardrum.coordination.orders;

import java.util.List;
import java.util.Set;

import org.medlardrum.decisions.pool.PlacementServer;
import org.medlardrum.state.routing.ModelPool;

/**
 * A pool whose layers are to be placed, and its engines.
 *
 * @param pool parameters of the pool
 * @param servers engines that accept requests, with the layers that they hold
 * @param leaving identifiers of registered engines that announced that they leave
 */
public record PoolPlacement(ModelPool pool, List<PlacementServer> servers, Set<String> leaving) {

	public PoolPlacement {
		servers = List.copyOf(servers);
		leaving = Set.copyOf(leaving);
	}

	/**
	 * Creates a placement in which no engine leaves.
	 * @param pool parameters of the pool
	 * @param servers engines that accept requests, with the layers that they hold
	 */
	public PoolPlacement(ModelPool pool, List<PlacementServer> servers) {
		this(pool, servers, Set.of());
	}

}
