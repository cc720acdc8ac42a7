package org.medlardrum.coordination.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Rendezvous hashing (highest random weight): every host computes the same owner of a key
 * from the same candidates, and a change of the candidates moves only the keys of the
 * hosts that were added or removed.
 */
public final class Rendezvous {

	private Rendezvous() {
	}

	/**
	 * Returns the owner of a key.
	 * @param key the key
	 * @param hostIds identifiers of the candidates
	 * @return the candidate with the largest weight, empty when there is none
	 */
	public static Optional<String> owner(String key, Collection<String> hostIds) {
		return hostIds.stream()
			.max(Comparator.<String>comparingLong((hostId) -> weight(key, hostId)).thenComparing((hostId) -> hostId));
	}

	/**
	 * Returns the weight of a candidate for a key.
	 * @param key the key
	 * @param hostId the candidate
	 * @return the weight
	 */
	public static long weight(String key, String hostId) {
		// FNV-1a over both strings, then the finaliser of MurmurHash3: FNV alone leaves
		// the high bits nearly equal for names that differ only in their last character.
		long hash = fnv(fnv(0xcbf29ce484222325L, key), hostId);
		hash ^= hash >>> 33;
		hash *= 0xff51afd7ed558ccdL;
		hash ^= hash >>> 33;
		hash *= 0xc4ceb9fe1a85ec53L;
		return hash ^ (hash >>> 33);
	}

	private static long fnv(long seed, String text) {
		long hash = seed;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
		}
		return (hash ^ 0xff) * 0x100000001b3L;
	}

}
