package org.medlardrum.decisions.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the other hosts tell about their paths to the backend servers. A host that cannot
 * reach the servers may pass its requests on to one that received answers lately.
 * Thread-safe.
 */
public final class PeerPaths {

	/**
	 * Longest age of another host's last answer of a server, and of its last report, at
	 * which requests are passed on to it. Busy hosts report every 300 ms.
	 */
	static final long MAX_AGE_MS = 1_500;

	private final Map<String, Report> reports = new HashMap<>();

	/**
	 * Records what another host tells.
	 * @param hostId identifier of the host
	 * @param usable whether it accepts requests of other hosts: it is neither cut off nor
	 * draining
	 * @param answeredMsAgo age of the last answer that it received from a server,
	 * negative for none
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void record(String hostId, boolean usable, long answeredMsAgo, long nowMs) {
		long answeredAtMs = (answeredMsAgo >= 0) ? nowMs - answeredMsAgo : Long.MIN_VALUE / 2;
		this.reports.put(hostId, new Report(usable, answeredAtMs, nowMs));
	}

	/**
	 * Records that another host refused a request, so that it is not asked again before
	 * its next report.
	 * @param hostId identifier of the host
	 */
	public synchronized void recordRefusal(String hostId) {
		this.reports.remove(hostId);
	}

	/**
	 * Returns the other hosts that reach the servers.
	 * @param nowMs current time on the monotonic clock
	 * @return their identifiers in a fixed order
	 */
	public synchronized List<String> usable(long nowMs) {
		this.reports.values().removeIf((report) -> nowMs - report.receivedAtMs > MAX_AGE_MS);
		return this.reports.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().usable && nowMs - entry.getValue().answeredAtMs <= MAX_AGE_MS)
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
	}

	private record Report(boolean usable, long answeredAtMs, long receivedAtMs) {
	}

}
