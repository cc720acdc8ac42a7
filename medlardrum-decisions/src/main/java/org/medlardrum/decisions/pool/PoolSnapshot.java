package org.medlardrum.decisions.pool;

import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

import org.medlardrum.state.routing.ModelPool;

/**
 * Input of a chain search: the engines of a pool and their load.
 *
 * @param pool parameters of the pool
 * @param servers engines that can be part of a chain
 * @param loads outstanding load of all entry hosts, by identifier of the engine
 * @param excluded whether an engine must not be used, given the availability zone of its
 * predecessor in the chain and the engine
 * @param excludedAsFirst whether an engine must not be the first of a chain
 */
public record PoolSnapshot(ModelPool pool, List<PoolServer> servers, Map<String, ServerLoad> loads,
		BiPredicate<String, PoolServer> excluded, Predicate<PoolServer> excludedAsFirst) {

	/**
	 * Creates an input in which each engine may be the first of a chain.
	 * @param pool parameters of the pool
	 * @param servers engines that can be part of a chain
	 * @param loads outstanding load of all entry hosts, by identifier of the engine
	 * @param excluded whether an engine must not be used, given the availability zone of
	 * its predecessor in the chain and the engine
	 */
	public PoolSnapshot(ModelPool pool, List<PoolServer> servers, Map<String, ServerLoad> loads,
			BiPredicate<String, PoolServer> excluded) {
		this(pool, servers, loads, excluded, (server) -> false);
	}

	/**
	 * Returns this input with engines that must not be the first of a chain.
	 * @param newExcludedAsFirst whether an engine must not be the first of a chain
	 * @return the input
	 */
	public PoolSnapshot withExcludedAsFirst(Predicate<PoolServer> newExcludedAsFirst) {
		return new PoolSnapshot(this.pool, this.servers, this.loads, this.excluded, newExcludedAsFirst);
	}

	/**
	 * Returns the outstanding load of an engine.
	 * @param server the engine
	 * @return the load, {@link ServerLoad#NONE} if none is recorded
	 */
	public ServerLoad load(PoolServer server) {
		return this.loads.getOrDefault(server.id(), ServerLoad.NONE);
	}

	/**
	 * Returns the fraction of an engine's KV cache that would be reserved.
	 * @param server the engine
	 * @param addedTokenLayers additional reservation, in tokens times layers
	 * @return the cache utilisation, 1 for a full cache, {@link Double#MAX_VALUE} for an
	 * engine without KV cache
	 */
	public double utilisation(PoolServer server, long addedTokenLayers) {
		long capacity = this.pool.tokenLayerCapacity(server.acceleratorKind(), server.layers().length());
		return (capacity <= 0) ? Double.MAX_VALUE : (double) (load(server).tokenLayers() + addedTokenLayers) / capacity;
	}

}
