package org.medlardrum.decisions.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Servers that are suspected to have failed, as observed from an availability zone. A
 * shared suspicion spares other requests from waiting for the same unresponsive server.
 * It also detects a partition between two availability zones, in which many servers of
 * one zone become unresponsive to the other at the same time. A server that is suspect
 * from its own zone is suspect from everywhere; two suspects of a zone, as observed from
 * another zone, make the whole zone suspect from there. Thread-safe.
 */
public final class ServerSuspicions {

	/**
	 * Duration of the suspicion of an unresponsive server. The registry removes such a
	 * server after three missed heartbeats, 3.6 s in the users' settings.
	 */
	public static final long UNRESPONSIVE_SUSPICION_MS = 4_000;

	/**
	 * Duration of the suspicion of a server that refused its stage of a chain. It is
	 * about the time to load a tenth of the model, during which the server would refuse
	 * every chain.
	 */
	public static final long REFUSED_SUSPICION_MS = 1_000;

	/** Suspects of a zone, observed from another, that indicate a partition. */
	private static final int MIN_SUSPECTS_FOR_PARTITION = 2;

	private final Map<Key, Long> endMsByKey = new HashMap<>();

	/**
	 * Adds a suspicion of a server. If the server is already suspect, the later end
	 * applies.
	 * @param fromZone availability zone of the predecessor that waited for the server
	 * @param server identifier of the server
	 * @param serverZone availability zone of the server
	 * @param endMs time on the monotonic clock at which the suspicion ends, in
	 * milliseconds
	 */
	public synchronized void suspect(String fromZone, String server, String serverZone, long endMs) {
		this.endMsByKey.merge(new Key(fromZone, server, serverZone), endMs, Math::max);
	}

	/**
	 * Ends the suspicion of a server that responded.
	 * @param fromZone availability zone of the predecessor that waited for the server
	 * @param server identifier of the server
	 */
	public synchronized void clearSuspicion(String fromZone, String server) {
		if (!this.endMsByKey.isEmpty()) {
			this.endMsByKey.keySet().removeIf((key) -> key.fromZone.equals(fromZone) && key.server.equals(server));
		}
	}

	/**
	 * Returns whether a server must not be used.
	 * @param fromZone availability zone of the predecessor that would send to the server
	 * @param server identifier of the server
	 * @param serverZone availability zone of the server
	 * @param nowMs current time on the monotonic clock
	 * @return {@code true} if the server or the link to its zone is suspect
	 */
	public synchronized boolean isSuspect(String fromZone, String server, String serverZone, long nowMs) {
		if (this.endMsByKey.isEmpty()) {
			return false;
		}
		this.endMsByKey.values().removeIf((endMs) -> endMs <= nowMs);
		if (this.endMsByKey.containsKey(new Key(fromZone, server, serverZone))) {
			return true;
		}
		if (this.endMsByKey.containsKey(new Key(serverZone, server, serverZone))) {
			return true;
		}
		return !fromZone.equals(serverZone) && countSuspects(fromZone, serverZone) >= MIN_SUSPECTS_FOR_PARTITION;
	}

	private long countSuspects(String fromZone, String serverZone) {
		return this.endMsByKey.keySet()
			.stream()
			.filter((key) -> key.fromZone.equals(fromZone) && key.serverZone.equals(serverZone))
			.count();
	}

	/**
	 * Returns the suspicions, latest end first.
	 * @param nowMs current time on the monotonic clock
	 * @return the suspicions
	 */
	public synchronized List<Suspicion> entries(long nowMs) {
		return this.endMsByKey.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > nowMs)
			.map((entry) -> new Suspicion(entry.getKey().fromZone, entry.getKey().server, entry.getKey().serverZone,
					entry.getValue() - nowMs))
			.sorted(Comparator.comparingLong(Suspicion::remainingMs).reversed())
			.toList();
	}

	/**
	 * One suspicion.
	 *
	 * @param fromZone availability zone of the predecessor that waited for the server
	 * @param server identifier of the server
	 * @param serverZone availability zone of the server
	 * @param remainingMs time until the suspicion ends, in milliseconds
	 */
	public record Suspicion(String fromZone, String server, String serverZone, long remainingMs) {
	}

	private record Key(String fromZone, String server, String serverZone) {
	}

}
