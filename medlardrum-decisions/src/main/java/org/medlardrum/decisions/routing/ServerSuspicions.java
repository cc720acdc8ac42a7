package org.medlardrum.decisions.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Servers that did not answer, as seen from an availability zone. It answers two losses:
 * a silent server, which every request would otherwise find out by its own wait, and a
 * cut between two availability zones, in which many servers fail at once as seen from one
 * of them. A suspect seen from its own zone is suspect everywhere; two suspects of one
 * zone seen from another make the whole zone suspect from there. Safe for use by several
 * threads.
 */
public final class ServerSuspicions {

	/**
	 * Time for which a silent server is not used: the registry removes it after three
	 * missed heartbeats, 3.6 s in the users' settings.
	 */
	public static final long UNRESPONSIVE_SUSPICION_MS = 4_000;

	/**
	 * Time for which a server that refused its part of a chain is not used: a load of a
	 * tenth of the model, during which every chain through it would be refused.
	 */
	public static final long REFUSED_SUSPICION_MS = 1_000;

	/** Suspects of a zone, seen from another zone, that make the link suspect. */
	private static final int SUSPECTS_OF_A_CUT = 2;

	private final Map<Key, Long> untilMs = new HashMap<>();

	/**
	 * Suspects a server. A later end replaces an earlier one.
	 * @param fromZone availability zone of what waited for the server
	 * @param server identifier of the server
	 * @param serverZone availability zone of the server
	 * @param until clock reading at which the suspicion ends
	 */
	public synchronized void suspect(String fromZone, String server, String serverZone, long until) {
		this.untilMs.merge(new Key(fromZone, server, serverZone), until, Math::max);
	}

	/**
	 * Ends the suspicions of a server that answered.
	 * @param fromZone availability zone of what waited for the server
	 * @param server identifier of the server
	 */
	public synchronized void clearSuspicion(String fromZone, String server) {
		if (!this.untilMs.isEmpty()) {
			this.untilMs.keySet().removeIf((key) -> key.fromZone.equals(fromZone) && key.server.equals(server));
		}
	}

	/**
	 * Returns whether a server is not to be used.
	 * @param fromZone availability zone of what would send to the server
	 * @param server identifier of the server
	 * @param serverZone availability zone of the server
	 * @param nowMs clock reading
	 * @return {@code true} if the server or the link to its zone is suspect
	 */
	public synchronized boolean isSuspect(String fromZone, String server, String serverZone, long nowMs) {
		if (this.untilMs.isEmpty()) {
			return false;
		}
		this.untilMs.values().removeIf((until) -> until <= nowMs);
		if (this.untilMs.containsKey(new Key(fromZone, server, serverZone))) {
			return true;
		}
		if (this.untilMs.containsKey(new Key(serverZone, server, serverZone))) {
			return true;
		}
		return !fromZone.equals(serverZone) && suspectsSeenFrom(fromZone, serverZone) >= SUSPECTS_OF_A_CUT;
	}

	private long suspectsSeenFrom(String fromZone, String serverZone) {
		return this.untilMs.keySet()
			.stream()
			.filter((key) -> key.fromZone.equals(fromZone) && key.serverZone.equals(serverZone))
			.count();
	}

	/**
	 * Returns the suspicions, latest end first.
	 * @param nowMs clock reading
	 * @return the suspicions
	 */
	public synchronized List<Suspicion> entries(long nowMs) {
		return this.untilMs.entrySet()
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
	 * @param fromZone availability zone of what waited for the server
	 * @param server identifier of the server
	 * @param serverZone availability zone of the server
	 * @param remainingMs time until the suspicion ends
	 */
	public record Suspicion(String fromZone, String server, String serverZone, long remainingMs) {
	}

	private record Key(String fromZone, String server, String serverZone) {
	}

}
