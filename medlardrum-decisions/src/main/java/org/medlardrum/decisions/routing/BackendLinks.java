package org.medlardrum.decisions.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides whether this host has lost its links to the backend servers, from the outcome
 * of its connections. Servers that fail one by one leave most others reachable; when most
 * of those tried since the first failure are unreachable, the common cause is this host.
 * Whether servers are gone in addition, only other hosts can tell. Thread-safe.
 *
 * <pre>
 * BackendLinks links = new BackendLinks();
 * links.recordUnreachable("s1", nowMs);
 * links.recordUnreachable("s2", nowMs);
 * links.isCutOff(nowMs); // true
 * </pre>
 */
public final class BackendLinks {

	/** Time for which the outcome of a connection counts, as long as a suspicion. */
	static final long OUTCOME_MS = 4_000;

	/** Fewest unreachable servers that indicate a lost link. */
	private static final int MIN_UNREACHABLE = 2;

	/** More unreachable servers than this multiple of the reached ones are needed. */
	private static final int MIN_RATIO = 2;

	/** Time within which servers vanish together if their common cause is this host. */
	static final long TOGETHER_MS = 150;

	private final Map<String, Vanished> vanished = new HashMap<>();

	private final Map<String, Outcome> latest = new HashMap<>();

	/**
	 * Records that a connection to a server was set up.
	 * @param server identifier of the server
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void recordReached(String server, long nowMs) {
		this.latest.put(server, new Outcome(true, nowMs, nowMs));
	}

	/**
	 * Records that no connection to a server could be set up.
	 * @param server identifier of the server
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void recordUnreachable(String server, long nowMs) {
		Outcome known = this.latest.get(server);
		boolean lasting = known != null && !known.reached && nowMs - known.atMs <= OUTCOME_MS;
		this.latest.put(server, new Outcome(false, (lasting) ? known.sinceMs : nowMs, nowMs));
	}

	/**
	 * Records that the connections to a server broke and nobody listens there any more.
	 * @param server identifier or address of the server
	 * @param startedAtMs time at which the first of these connections was begun
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void recordVanished(String server, long startedAtMs, long nowMs) {
		this.vanished.put(server, new Vanished(startedAtMs, nowMs));
	}

	/**
	 * Returns whether another server vanished at the same moment, so that this host may
	 * have lost its links. A server to which a request was sent only after the first one
	 * had vanished does not count: the request may have crashed both.
	 * @param server the server
	 * @param nowMs current time on the monotonic clock
	 * @return {@code true} if both were in use when the first of them vanished
	 */
	public synchronized boolean vanishedWithOthers(String server, long nowMs) {
		this.vanished.values().removeIf((entry) -> nowMs - entry.atMs > 2 * TOGETHER_MS);
		Vanished own = this.vanished.get(server);
		return own != null && this.vanished.entrySet()
			.stream()
			.anyMatch((other) -> !other.getKey().equals(server) && own.isTogetherWith(other.getValue()));
	}

	/**
	 * Returns whether this host has lost its links to most servers.
	 * @param nowMs current time on the monotonic clock
	 * @return {@code true} if requests should not be sent to servers from here
	 */
	public synchronized boolean isCutOff(long nowMs) {
		return isUnreachableMoreThan(MIN_RATIO, nowMs);
	}

	/**
	 * Returns whether this host reaches fewer servers than it does not, so that another
	 * host may serve what this one cannot. Some failed servers among sound ones are no
	 * reason to ask other hosts, which see the same.
	 * @param nowMs current time on the monotonic clock
	 * @return {@code true} if more servers were unreachable than reached
	 */
	public synchronized boolean isDegraded(long nowMs) {
		return isUnreachableMoreThan(1, nowMs);
	}

	private boolean isUnreachableMoreThan(int ratio, long nowMs) {
		this.latest.values().removeIf((outcome) -> nowMs - outcome.atMs > OUTCOME_MS);
		long firstFailureMs = Long.MAX_VALUE;
		int unreachable = 0;
		for (Outcome outcome : this.latest.values()) {
			if (!outcome.reached) {
				unreachable++;
				firstFailureMs = Math.min(firstFailureMs, outcome.sinceMs);
			}
		}
		int reached = 0;
		for (Outcome outcome : this.latest.values()) {
			reached += (outcome.reached && outcome.atMs >= firstFailureMs) ? 1 : 0;
		}
		return unreachable >= MIN_UNREACHABLE && unreachable > ratio * reached;
	}

	/**
	 * Returns the servers that were unreachable lately.
	 * @param nowMs current time on the monotonic clock
	 * @return their identifiers
	 */
	public synchronized List<String> unreachable(long nowMs) {
		return this.latest.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().reached && nowMs - entry.getValue().atMs <= OUTCOME_MS)
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
	}

	/**
	 * A server whose connections broke.
	 *
	 * @param startedAtMs time at which the first of them was begun
	 * @param atMs time at which it was known that nobody listens
	 */
	private record Vanished(long startedAtMs, long atMs) {

		boolean isTogetherWith(Vanished other) {
			return Math.abs(this.atMs - other.atMs) <= TOGETHER_MS && this.startedAtMs < other.atMs
					&& other.startedAtMs < this.atMs;
		}

	}

	/**
	 * Latest outcome of connections to a server.
	 *
	 * @param reached whether a connection was set up
	 * @param sinceMs time of the first of consecutive failures
	 * @param atMs time of the latest outcome
	 */
	private record Outcome(boolean reached, long sinceMs, long atMs) {
	}

}
