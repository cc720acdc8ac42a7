package org.medlardrum.coordination.config;

import java.util.Collection;
import java.util.Comparator;

import org.medlardrum.state.Host;

/**
 * Selects the hosts of an availability zone that watch the store.
 */
final class ConfigWatchers {

	/**
	 * Watchers in each availability zone. With 3, one remains when two fail at the same
	 * time. The store can serve the 24 watches of 8 availability zones.
	 */
	static final int WATCHERS_PER_ZONE = 3;

	private ConfigWatchers() {
	}

	/**
	 * Returns whether a host is among the watchers by rendezvous hashing.
	 * @param hostId the host
	 * @param availabilityZone the host's availability zone
	 * @param livePeers live entry hosts, with or without the host itself
	 * @return {@code true} if the host is one of the watchers
	 */
	static boolean isWatcher(String hostId, String availabilityZone, Collection<Host> livePeers) {
		Comparator<String> order = Comparator.comparingLong(ConfigWatchers::weight).thenComparing((id) -> id);
		long higherWeights = livePeers.stream()
			.filter((host) -> host.availabilityZone().equals(availabilityZone))
			.map(Host::id)
			.filter((id) -> order.compare(id, hostId) > 0)
			.distinct()
			.count();
		return higherWeights < WATCHERS_PER_ZONE;
	}

	private static long weight(String hostId) {
		// FNV-1a of the key and the host id, followed by the finaliser of MurmurHash3.
		long hash = 0xcbf29ce484222325L;
		String text = "configuration " + hostId;
		for (int index = 0; index < text.length(); index++) {
			hash = (hash ^ text.charAt(index)) * 0x100000001b3L;
		}
		hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return hash ^ (hash >>> 33);
	}

}
