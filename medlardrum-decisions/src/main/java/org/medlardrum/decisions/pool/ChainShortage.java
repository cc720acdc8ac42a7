package org.medlardrum.decisions.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * Why a search found no chain, and the load of the engines with which chains begin.
 *
 * @param limit the resource that is used up
 * @param firstEngineRequests streams of all hosts at the engines that hold the first
 * layer
 * @param firstEngineSlots slots of these engines
 */
public record ChainShortage(CapacityLimit limit, int firstEngineRequests, int firstEngineSlots) {

	/**
	 * Determines why a request finds no chain.
	 * @param snapshot the engines and their load
	 * @param request the request
	 * @param maxUtilisation largest utilisation with which the chain was searched
	 * @return the shortage
	 */
	public static ChainShortage of(PoolSnapshot snapshot, ChainRequest request, double maxUtilisation) {
		int requests = 0;
		int slots = 0;
		for (PoolServer server : snapshot.servers()) {
			if (server.layers().fromLayer() == 0) {
				requests += snapshot.load(server).headSequences();
				slots += server.slots();
			}
		}
		return new ChainShortage(limit(snapshot, request, maxUtilisation), requests, slots);
	}

	private static CapacityLimit limit(PoolSnapshot snapshot, ChainRequest request, double maxUtilisation) {
		if (new ChainSearch(withLoads(snapshot, Map.of())).find(request, 1).isEmpty()) {
			return CapacityLimit.LAYERS;
		}
		Map<String, ServerLoad> cacheLoads = new HashMap<>();
		snapshot.loads()
			.forEach((id, load) -> cacheLoads.put(id, new ServerLoad(load.tokenLayers(), load.sequences(), 0)));
		boolean hasCache = new ChainSearch(withLoads(snapshot, cacheLoads)).find(request, maxUtilisation).isPresent();
		return (hasCache) ? CapacityLimit.FIRST_ENGINES : CapacityLimit.KV_CACHE;
	}

	private static PoolSnapshot withLoads(PoolSnapshot snapshot, Map<String, ServerLoad> loads) {
		return new PoolSnapshot(snapshot.pool(), snapshot.servers(), loads, snapshot.excluded(),
				snapshot.excludedAsFirst());
	}

}
