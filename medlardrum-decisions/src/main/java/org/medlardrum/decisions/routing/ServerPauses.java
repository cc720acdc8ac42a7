package org.medlardrum.decisions.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which servers this host may send requests to, by the pauses that the servers
 * asked for when they refused requests. Answers a flood in which a server refuses with a
 * time to come back: without the pause, the server receives and refuses most of the
 * host's requests all the while.
 *
 * <p>
 * Nothing accumulates at the end of a pause: the first request after it is a trial. Each
 * answer doubles the number of requests that may be outstanding until the server counts
 * as recovered.
 *
 * <p>
 * A pause is not shared between hosts. It states what the server wants from one host; a
 * server that is full for the host with most of the traffic still serves the others.
 */
public final class ServerPauses {

	/** Outstanding requests at which a server counts as recovered. */
	static final int RECOVERED_LIMIT = 16;

	/** Limit of servers for which pauses are kept. */
	private static final int MAX_SERVERS = 4_096;

	private final Map<String, Pause> pauses = new HashMap<>();

	/**
	 * Records that a server wants no requests for a time. A pause never ends earlier than
	 * an earlier one of the same server.
	 * @param server identifier of the server
	 * @param durationMs length of the pause in milliseconds
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void recordPause(String server, long durationMs, long nowMs) {
		if (this.pauses.size() >= MAX_SERVERS) {
			removeEnded(nowMs);
		}
		Pause known = this.pauses.get(server);
		long endMs = nowMs + durationMs;
		this.pauses.put(server, new Pause((known != null) ? Math.max(known.endMs, endMs) : endMs, 1,
				(known != null) ? known.outstanding : 0));
	}

	private void removeEnded(long nowMs) {
		this.pauses.values().removeIf((pause) -> pause.endMs <= nowMs);
		while (this.pauses.size() >= MAX_SERVERS) {
			this.pauses.remove(this.pauses.keySet().iterator().next());
		}
	}

	/**
	 * Returns whether a request may be sent to a server.
	 * @param server identifier of the server
	 * @param nowMs current time on the monotonic clock
	 * @return {@code false} during a pause, and after it while as many requests are
	 * outstanding as the server may receive
	 */
	public synchronized boolean mayReceive(String server, long nowMs) {
		Pause pause = this.pauses.get(server);
		return pause == null || (nowMs >= pause.endMs && pause.outstanding < pause.limit);
	}

	/**
	 * Returns whether a server is in a pause.
	 * @param server identifier of the server
	 * @param nowMs current time on the monotonic clock
	 * @return {@code true} until the end of the pause
	 */
	public synchronized boolean isPaused(String server, long nowMs) {
		return remainingMs(server, nowMs) > 0;
	}

	/**
	 * Returns the remaining time of a server's pause.
	 * @param server identifier of the server
	 * @param nowMs current time on the monotonic clock
	 * @return the time in milliseconds, 0 for none
	 */
	public synchronized long remainingMs(String server, long nowMs) {
		Pause pause = this.pauses.get(server);
		return (pause != null) ? Math.max(0, pause.endMs - nowMs) : 0;
	}

	/**
	 * Records that a request is being sent to a server.
	 * @param server identifier of the server
	 * @return whether the end must be reported by {@link #recordEnd}
	 */
	public synchronized boolean recordSend(String server) {
		return this.pauses.computeIfPresent(server,
				(id, pause) -> pause.withOutstanding(pause.outstanding + 1)) != null;
	}

	/**
	 * Records that a request for which {@link #recordSend} returned {@code true} has
	 * ended.
	 * @param server identifier of the server
	 */
	public synchronized void recordEnd(String server) {
		this.pauses.computeIfPresent(server, (id, pause) -> pause.withOutstanding(Math.max(0, pause.outstanding - 1)));
	}

	/**
	 * Records an answer of a server that asks for no pause.
	 * @param server identifier of the server
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void recordAnswer(String server, long nowMs) {
		this.pauses.computeIfPresent(server, (id, pause) -> {
			if (nowMs < pause.endMs) {
				return pause;
			}
			int limit = pause.limit * 2;
			return (limit >= RECOVERED_LIMIT) ? null : new Pause(pause.endMs, limit, pause.outstanding);
		});
	}

	/**
	 * Pause of a server.
	 *
	 * @param endMs end of the pause on the monotonic clock
	 * @param limit requests that may be outstanding after the pause
	 * @param outstanding requests sent since the pause was asked for that have not ended
	 */
	private record Pause(long endMs, int limit, int outstanding) {

		Pause withOutstanding(int newOutstanding) {
			return new Pause(this.endMs, this.limit, newOutstanding);
		}

	}

}
