package org.medlardrum.decisions.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Servers that are suspected to have failed, as observed from an availability zone. A
 * shared suspicion spares other requests from waiting for the same unresponsive server.
 * It also detects a partition between two availability zones, in which many servers of
 * one zone become unresponsive to the other at the same time. A server that is suspect
 * from its own zone is suspect from everywhere; two suspects of a zone, as observed from
 * another zone, make the whole zone suspect from there.
 *
 * <p>
 * Where {@link #setDiscountsJointLosses joint losses are discounted}, servers that are
 * suspect from their own zone as well are no evidence of a partition, as they have failed
 * for everyone, and a zone that has answered lately is not partitioned.
 *
 * <p>
 * An answer of a server to this host outweighs the suspicion that it is unresponsive,
 * whoever has it: the server may have been silent for a moment only, or the link of the
 * host that suspects it may be gone. Thread-safe.
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

	/**
	 * Age up to which an answer outweighs a suspicion that another host tells. A host
	 * takes at least this long to suspect a silent server.
	 */
	private static final long FRESH_ANSWER_MS = 300;

	/** Suspects of a zone, observed from another, that indicate a partition. */
	private static final int MIN_SUSPECTS_FOR_PARTITION = 2;

	/** Teller of the suspicions of this host. */
	private static final String OWN = "";

	/**
	 * Suspicions by server. A chain search asks about each engine from each zone, and
	 * each of a hundred hosts may tell of the same servers.
	 */
	private final Map<String, Map<Key, Entry>> entries = new HashMap<>();

	/** Time at which the first suspicion ends, or an earlier one. */
	private long nextEndMs = Long.MAX_VALUE;

	/** Times of the last answers to this host, by server and zone of its predecessor. */
	private final Map<Path, Long> answeredAtMs = new HashMap<>();

	/** Times of the last answers to this host, by server. */
	private final Map<String, Long> lastAnsweredAtMs = new HashMap<>();

	/** Times of the last answers to this host over a link between two zones. */
	private final Map<ZonePair, Long> zoneAnsweredAtMs = new HashMap<>();

	private boolean discountsJointLosses;

	/**
	 * Sets whether servers that have failed for everyone are told apart from a partition.
	 * @param discounts {@code false} if any two suspects of another zone indicate a
	 * partition
	 */
	public synchronized void setDiscountsJointLosses(boolean discounts) {
		this.discountsJointLosses = discounts;
	}

	/**
	 * Adds a suspicion of a server that no answer outweighs. If the server is already
	 * suspect, the later end applies.
	 * @param fromZone availability zone of the predecessor that waited for the server
	 * @param server identifier of the server
	 * @param serverZone availability zone of the server
	 * @param endMs time on the monotonic clock at which the suspicion ends, in
	 * milliseconds
	 */
	public synchronized void suspect(String fromZone, String server, String serverZone, long endMs) {
		add(new Key(OWN, fromZone, server, serverZone), new Entry(Long.MAX_VALUE, endMs));
	}

	/**
	 * Adds a suspicion of this host that a server is unresponsive.
	 * @param fromZone availability zone of the predecessor that waited for the server
	 * @param server identifier of the server
	 * @param serverZone availability zone of the server
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void suspectUnresponsive(String fromZone, String server, String serverZone, long nowMs) {
		add(new Key(OWN, fromZone, server, serverZone), new Entry(nowMs, nowMs + UNRESPONSIVE_SUSPICION_MS));
	}

	/**
	 * Adds a suspicion that another host has told, unless a fresh answer outweighs it.
	 * @param host identifier of the other host
	 * @param told the suspicion
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void suspectTold(String host, Suspicion told, long nowMs) {
		long remainingMs = Math.min(UNRESPONSIVE_SUSPICION_MS, told.remainingMs());
		boolean unresponsive = remainingMs > REFUSED_SUSPICION_MS;
		Key key = new Key(host, told.fromZone(), told.server(), told.serverZone());
		Entry known = of(told.server()).get(key);
		long endMs = nowMs + remainingMs;
		if (known != null && endMs - known.endMs < FRESH_ANSWER_MS) {
			return;
		}
		Long answered = this.answeredAtMs.get(new Path(told.fromZone(), told.server()));
		if (!unresponsive || answered == null || nowMs - answered > FRESH_ANSWER_MS) {
			add(key, new Entry((unresponsive) ? nowMs : Long.MAX_VALUE, endMs));
		}
	}

	private void add(Key key, Entry entry) {
		this.entries.computeIfAbsent(key.server, (server) -> new HashMap<>())
			.merge(key, entry, (first, second) -> (first.endMs >= second.endMs) ? first : second);
		this.nextEndMs = Math.min(this.nextEndMs, entry.endMs);
	}

	private Map<Key, Entry> of(String server) {
		return this.entries.getOrDefault(server, Map.of());
	}

	private void removeIf(Predicate<Map.Entry<Key, Entry>> condition) {
		this.entries.values().forEach((ofServer) -> ofServer.entrySet().removeIf(condition));
		this.entries.values().removeIf(Map::isEmpty);
	}

	private void removeIf(String server, Predicate<Map.Entry<Key, Entry>> condition) {
		Map<Key, Entry> ofServer = this.entries.get(server);
		if (ofServer != null && ofServer.entrySet().removeIf(condition) && ofServer.isEmpty()) {
			this.entries.remove(server);
		}
	}

	/**
	 * Ends all suspicions that another host has told.
	 * @param host identifier of the other host
	 */
	public synchronized void forget(String host) {
		removeIf((entry) -> entry.getKey().teller.equals(host));
	}

	/**
	 * Records an answer of a server to this host.
	 * @param fromZone availability zone of the server's predecessor
	 * @param server identifier of the server
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void recordAnswer(String fromZone, String server, long nowMs) {
		this.answeredAtMs.put(new Path(fromZone, server), nowMs);
		this.lastAnsweredAtMs.merge(server, nowMs, Math::max);
		removeIf(server, (entry) -> entry.getKey().isPath(fromZone, server) && entry.getValue().observedAtMs <= nowMs);
	}

	/**
	 * Records an answer of a server to this host, which also shows that the link to its
	 * zone works.
	 * @param fromZone availability zone of the server's predecessor
	 * @param server identifier of the server
	 * @param serverZone availability zone of the server
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void recordAnswer(String fromZone, String server, String serverZone, long nowMs) {
		recordAnswer(fromZone, server, nowMs);
		this.zoneAnsweredAtMs.put(new ZonePair(fromZone, serverZone), nowMs);
	}

	/**
	 * Ends this host's suspicion of a server that responded.
	 * @param fromZone availability zone of the predecessor that waited for the server
	 * @param server identifier of the server
	 */
	public synchronized void clearSuspicion(String fromZone, String server) {
		removeIf(server, (entry) -> entry.getKey().teller.equals(OWN) && entry.getKey().isPath(fromZone, server));
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
		if (this.entries.isEmpty()) {
			return false;
		}
		removeExpired(nowMs);
		for (Map.Entry<Key, Entry> entry : of(server).entrySet()) {
			if (entry.getKey().isPath(fromZone, server) || isLostForAll(entry, server, serverZone)) {
				return true;
			}
		}
		return !fromZone.equals(serverZone) && isPartitioned(fromZone, serverZone, nowMs);
	}

	private void removeExpired(long nowMs) {
		if (nowMs >= this.nextEndMs) {
			removeIf((entry) -> entry.getValue().endMs <= nowMs);
			this.nextEndMs = this.entries.values()
				.stream()
				.flatMap((ofServer) -> ofServer.values().stream())
				.mapToLong(Entry::endMs)
				.min()
				.orElse(Long.MAX_VALUE);
		}
	}

	// Whether an entry makes a server suspect from everywhere.
	private boolean isLostForAll(Map.Entry<Key, Entry> entry, String server, String serverZone) {
		return entry.getKey().isPath(serverZone, server) && !hasAnsweredSince(server, entry.getValue().observedAtMs);
	}

	private boolean isPartitioned(String fromZone, String serverZone, long nowMs) {
		if (this.discountsJointLosses) {
			Long answered = this.zoneAnsweredAtMs.get(new ZonePair(fromZone, serverZone));
			if (answered != null && nowMs - answered <= FRESH_ANSWER_MS) {
				return false;
			}
		}
		return countSuspects(fromZone, serverZone) >= MIN_SUSPECTS_FOR_PARTITION;
	}

	// Whether the server has answered to any predecessor, so that it is alive.
	private boolean hasAnsweredSince(String server, long sinceMs) {
		return this.lastAnsweredAtMs.getOrDefault(server, Long.MIN_VALUE) >= sinceMs;
	}

	private int countSuspects(String fromZone, String serverZone) {
		int count = 0;
		for (Map.Entry<String, Map<Key, Entry>> ofServer : this.entries.entrySet()) {
			String server = ofServer.getKey();
			if (ofServer.getValue().keySet().stream().anyMatch((key) -> key.isBetween(fromZone, serverZone))
					&& !(this.discountsJointLosses && isLostForAll(server, serverZone))) {
				count++;
			}
		}
		return count;
	}

	private boolean isLostForAll(String server, String serverZone) {
		return of(server).entrySet().stream().anyMatch((entry) -> isLostForAll(entry, server, serverZone));
	}

	/**
	 * Returns this host's suspicions, latest end first.
	 * @param nowMs current time on the monotonic clock
	 * @return the suspicions
	 */
	public synchronized List<Suspicion> entries(long nowMs) {
		return this.entries.values()
			.stream()
			.flatMap((ofServer) -> ofServer.entrySet().stream())
			.filter((entry) -> entry.getKey().teller.equals(OWN) && entry.getValue().endMs > nowMs)
			.map((entry) -> new Suspicion(entry.getKey().fromZone, entry.getKey().server, entry.getKey().serverZone,
					entry.getValue().endMs - nowMs))
			.sorted(Comparator.comparingLong(Suspicion::remainingMs).reversed())
			.toList();
	}

	/**
	 * Forgets the answers of servers that are not registered any more.
	 * @param registered whether a server is registered, by its identifier
	 */
	public synchronized void retainAnswers(Predicate<String> registered) {
		this.answeredAtMs.keySet().removeIf((path) -> !registered.test(path.server));
		this.lastAnsweredAtMs.keySet().removeIf((server) -> !registered.test(server));
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

	private record Path(String fromZone, String server) {
	}

	private record ZonePair(String fromZone, String serverZone) {
	}

	private record Key(String teller, String fromZone, String server, String serverZone) {

		boolean isPath(String zone, String serverId) {
			return this.fromZone.equals(zone) && this.server.equals(serverId);
		}

		boolean isBetween(String from, String to) {
			return this.fromZone.equals(from) && this.serverZone.equals(to);
		}

	}

	/**
	 * State of a suspicion.
	 *
	 * @param observedAtMs time from which answers outweigh the suspicion,
	 * {@link Long#MAX_VALUE} if none does
	 * @param endMs time at which the suspicion ends
	 */
	private record Entry(long observedAtMs, long endMs) {
	}

}
