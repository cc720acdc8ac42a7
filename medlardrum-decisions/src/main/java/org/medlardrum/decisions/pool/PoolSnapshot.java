package org.medlardrum.decisions.pool;

import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;

import org.medlardrum.state.routing.ModelPool;

/**
 * What a choice of chain is based on.
 *
 * @param pool figures of the pool
 * @param servers engines that hold layers and take requests
 * @param loads work of all entry hosts by identifier of the engine
 * @param avoided whether an engine must not be used by what comes before it in a chain,
 * given the availability zone of the predecessor and the engine
 */
public record PoolSnapshot(ModelPool pool, List<PoolServer> servers, Map<String, ServerLoad> loads,
		BiPredicate<String, PoolServer> avoided) {

	/**
	 * Returns the work at an engine.
	 * @param server the engine
	 * @return the work, none if nothing is known
	 */
	public ServerLoad load(PoolServer server) {
		return this.loads.getOrDefault(server.id(), ServerLoad.NONE);
	}

	/**
	 * Returns the part of an engine's KV cache that would be reserved.
	 * @param server the engine
	 * @param addedTokenLayers additional reservation
	 * @return the part, 1 when it is full
	 */
	public double utilisation(PoolServer server, long addedTokenLayers) {
		long capacity = this.pool.tokenLayerCapacity(server.kind(), server.layers().length());
		return (capacity <= 0) ? Double.MAX_VALUE : (double) (load(server).tokenLayers() + addedTokenLayers) / capacity;
	}

}
