package org.medlardrum.decisions.pool;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.random.RandomGenerator;

import org.medlardrum.state.routing.ModelPool;

/**
 * Queries about the availability zones along a chain of engines. Whether an engine is
 * reachable depends on the availability zone of its predecessor: the engine before it in
 * the chain, or the entry host for the first engine.
 */
public final class ChainZones {

	private ChainZones() {
	}

	/**
	 * Returns the availability zone of an engine's predecessor in a chain.
	 * @param chain the chain
	 * @param serverId identifier of the engine
	 * @param hostZone availability zone of the entry host
	 * @return the zone of the engine before it, or of the host for the first engine
	 */
	public static String predecessorZone(List<ChainHop> chain, String serverId, String hostZone) {
		String predecessorZone = hostZone;
		for (ChainHop hop : chain) {
			if (hop.server().id().equals(serverId)) {
				return predecessorZone;
			}
			predecessorZone = hop.server().availabilityZone();
		}
		return predecessorZone;
	}

	/**
	 * Returns whether a chain contains an excluded engine.
	 * @param chain the chain
	 * @param hostZone availability zone of the entry host
	 * @param excluded whether an engine is excluded, given the availability zone of its
	 * predecessor
	 * @return {@code true} if at least one engine of the chain is excluded
	 */
	public static boolean hasExcluded(List<ChainHop> chain, String hostZone, BiPredicate<String, PoolServer> excluded) {
		String predecessorZone = hostZone;
		for (ChainHop hop : chain) {
			if (excluded.test(predecessorZone, hop.server())) {
				return true;
			}
			predecessorZone = hop.server().availabilityZone();
		}
		return false;
	}

	/**
	 * Counts how often a chain's activations cross each link between availability zones.
	 * The call from the entry host to the first engine carries no activations.
	 * @param chain the chain
	 * @return number of crossings by {@link ModelPool#zonePairKey}, empty for a chain
	 * within a zone
	 */
	public static Map<String, Integer> crossings(List<ChainHop> chain) {
		Map<String, Integer> crossings = new TreeMap<>();
		for (int i = 1; i < chain.size(); i++) {
			String from = chain.get(i - 1).server().availabilityZone();
			String to = chain.get(i).server().availabilityZone();
			if (!from.equals(to)) {
				crossings.merge(ModelPool.zonePairKey(from, to), 1, Integer::sum);
			}
		}
		return crossings;
	}

	/**
	 * Picks a random availability zone for a stream that fails over to another chain. All
	 * streams of a failed chain fail over at the same moment; random zones spread them
	 * over the remaining engines.
	 * @param servers engines that hold layers
	 * @param excludedIds identifiers of engines that must not be used
	 * @param hostZone availability zone of the entry host
	 * @param random random source
	 * @return a zone with engines that are not excluded, the host's zone if there is none
	 */
	public static String randomFailoverZone(Collection<PoolServer> servers, Set<String> excludedIds, String hostZone,
			RandomGenerator random) {
		List<String> zones = servers.stream()
			.filter((server) -> !excludedIds.contains(server.id()))
			.map(PoolServer::availabilityZone)
			.distinct()
			.sorted()
			.toList();
		return (zones.isEmpty()) ? hostZone : zones.get(random.nextInt(zones.size()));
	}

}
