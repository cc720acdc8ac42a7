package org.medlardrum.decisions.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.medlardrum.state.routing.ServerStart;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Servers that have said in a response that they are leaving. Their word counts until
 * they start again: the registry may learn of it later or not at all, and entries that
 * were written before may arrive after it.
 */
public final class LeavingServers {

	/** Limit of servers; the earliest are forgotten first. */
	private static final int MAX_SERVERS = 4_096;

	/**
	 * Time for which the other hosts are told of a server; each digest that is lost is
	 * made up for by the next one.
	 */
	private static final long TELL_MS = 2_000;

	private static final long NOT_TOLD_ON_MS = Long.MIN_VALUE / 2;

	/** Time at which this host learned it, by start of a server. */
	private final Map<ServerStart, Long> learnedAtMs = new LinkedHashMap<>();

	/**
	 * Records that a server has said in a response to this host that it is leaving.
	 * @param start start of the server
	 * @param nowMs current time on the monotonic clock
	 * @return {@code false} if it was known before
	 */
	public synchronized boolean record(ServerStart start, long nowMs) {
		return add(start, nowMs);
	}

	/**
	 * Records that another host has told that a server is leaving. It is not told on.
	 * @param start start of the server
	 * @return {@code false} if it was known before
	 */
	public synchronized boolean recordTold(ServerStart start) {
		return add(start, NOT_TOLD_ON_MS);
	}

	private boolean add(ServerStart start, long atMs) {
		if (this.learnedAtMs.putIfAbsent(start, atMs) != null) {
			return false;
		}
		if (this.learnedAtMs.size() > MAX_SERVERS) {
			this.learnedAtMs.remove(this.learnedAtMs.keySet().iterator().next());
		}
		return true;
	}

	/**
	 * Returns whether a server is leaving.
	 * @param server the server
	 * @return {@code true} until it starts again
	 */
	public synchronized boolean contains(ServiceInstance server) {
		return this.learnedAtMs.containsKey(ServerStart.of(server));
	}

	/**
	 * Returns the report of a server as this host believes it.
	 * @param report report in the registry
	 * @return the report, draining if the server has said that it is leaving
	 */
	public ServiceInstance correct(ServiceInstance report) {
		return (!report.draining() && contains(report)) ? report.asDraining() : report;
	}

	/**
	 * Returns the servers of which the other hosts are to be told.
	 * @param nowMs current time on the monotonic clock
	 * @return their starts
	 */
	public synchronized List<ServerStart> toTell(long nowMs) {
		List<ServerStart> starts = new ArrayList<>();
		this.learnedAtMs.forEach((start, atMs) -> {
			if (nowMs - atMs < TELL_MS) {
				starts.add(start);
			}
		});
		return starts;
	}

}
