package org.medlardrum.decisions.pool;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.random.RandomGenerator;

/**
 * Availability zones along engine chains. Which engine can be reached depends on the zone
 * of what comes before it.
 */
public final class ChainZones {

	private ChainZones() {
	}

	/**
	 * Returns the availability zone from which an engine of a chain is reached.
	 * @param chain the chain
	 * @param serverId identifier of the engine
	 * @param hostZone availability zone of the entry host
	 * @return the zone of the engine before it, or of the host for the first engine
	 */
	public static String predecessorZone(List<ChainHop> chain, String serverId, String hostZone) {
		String before = hostZone;
		for (ChainHop hop : chain) {
			if (hop.server().id().equals(serverId)) {
				return before;
			}
			before = hop.server().availabilityZone();
		}
		return before;
	}

	/**
	 * Returns whether a chain has an engine that is to be avoided.
	 * @param chain the chain
	 * @param hostZone availability zone of the entry host
	 * @param avoided whether an engine is to be avoided, given the availability zone of
	 * what comes before it
	 * @return {@code true} if there is one
	 */
	public static boolean hasExcluded(List<ChainHop> chain, String hostZone, BiPredicate<String, PoolServer> avoided) {
		String before = hostZone;
		for (ChainHop hop : chain) {
			if (avoided.test(before, hop.server())) {
				return true;
			}
			before = hop.server().availabilityZone();
		}
		return false;
	}

	/**
	 * Draws an availability zone for a stream that leaves its chain. All streams of a
	 * broken chain move at the same moment; drawn zones spread them over what is left.
	 * @param servers engines that hold layers
	 * @param excluded identifiers of engines that must not be used
	 * @param hostZone availability zone of the entry host
	 * @param random random source
	 * @return a zone that has engines left, that of the host if none has
	 */
	public static String randomFailoverZone(Collection<PoolServer> servers, Set<String> excluded, String hostZone,
			RandomGenerator random) {
		List<String> zones = servers.stream()
			.filter((server) -> !excluded.contains(server.id()))
			.map(PoolServer::availabilityZone)
			.distinct()
			.sorted()
			.toList();
		return (zones.isEmpty()) ? hostZone : zones.get(random.nextInt(zones.size()));
	}

}
