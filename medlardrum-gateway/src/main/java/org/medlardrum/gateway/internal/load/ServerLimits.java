package org.medlardrum.gateway.internal.load;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.medlardrum.decisions.routing.LimitReport;
import org.medlardrum.decisions.routing.SharedRequestLimits;
import org.medlardrum.gateway.GatewayClock;
import org.medlardrum.gateway.internal.log.DecisionLog;

/**
 * Limits of requests that servers name for all entry hosts together, and this host's
 * share of them.
 */
public final class ServerLimits {

	private static final double ROUNDING = 100.0;

	private final GatewayClock clock;

	private final DecisionLog log;

	private final SharedRequestLimits limits;

	private volatile boolean empty = true;

	private volatile Runnable listener = () -> {
	};

	/**
	 * Creates a table without limits.
	 * @param clock the clocks
	 * @param log the log
	 * @param hostId identifier of this host
	 */
	public ServerLimits(GatewayClock clock, DecisionLog log, String hostId) {
		this.limits = new SharedRequestLimits(hostId);
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Sets the listener that runs when a server has named another limit.
	 * @param newListener must not block
	 */
	public void onChange(Runnable newListener) {
		this.listener = newListener;
	}

	/**
	 * Replaces the set of other hosts.
	 * @param hostIds identifiers of the hosts without this one
	 */
	public synchronized void updateHosts(Collection<String> hostIds) {
		this.limits.updateHosts(hostIds);
	}

	/**
	 * Records what an answer of a server says about its limit.
	 * @param serverId identifier of the server instance
	 * @param limitPerS requests per second, empty if the answer names no limit
	 */
	public void recordAnswer(String serverId, OptionalDouble limitPerS) {
		if (this.empty && limitPerS.isEmpty()) {
			return;
		}
		boolean changed;
		synchronized (this) {
			changed = this.limits.recordLimit(serverId, limitPerS, this.clock.monotonicMs());
			this.empty = false;
			if (changed) {
				logLimit(serverId, limitPerS.orElse(0), "answer");
			}
		}
		if (changed) {
			this.listener.run();
		}
	}

	/**
	 * Records that this host would send a request to a server.
	 * @param serverId identifier of the server instance
	 */
	public synchronized void recordDemand(String serverId) {
		this.limits.recordDemand(serverId, this.clock.monotonicMs());
	}

	/**
	 * Returns whether a request may be sent to a server now.
	 * @param serverId identifier of the server instance
	 * @return {@code false} if this host has used up its share of the server's limit
	 */
	public synchronized boolean isAllowed(String serverId) {
		return this.empty || this.limits.isAllowed(serverId, this.clock.monotonicMs());
	}

	/**
	 * Takes one request from this host's share of a server's limit.
	 * @param serverId identifier of the server instance
	 * @return {@code false} if the share is used up
	 */
	public synchronized boolean tryTake(String serverId) {
		return this.empty || this.limits.tryTake(serverId, this.clock.monotonicMs());
	}

	/**
	 * Returns what this host knows of the limits, for the other hosts.
	 * @return the reports
	 */
	public synchronized List<LimitReport> takeReports() {
		if (this.empty) {
			return List.of();
		}
		List<LimitReport> reports = this.limits.takeReports(this.clock.monotonicMs());
		this.empty = reports.isEmpty();
		return reports;
	}

	/**
	 * Merges the reports of another host.
	 * @param hostId identifier of the host
	 * @param reports the reports
	 */
	public synchronized void merge(String hostId, List<LimitReport> reports) {
		for (LimitReport report : reports) {
			if (this.limits.merge(hostId, report, this.clock.monotonicMs())) {
				logLimit(report.server(), report.limitPerS(), "told by " + hostId);
			}
		}
		this.empty = false;
	}

	/**
	 * Logs that a request does not go to the preferred server because this host's share
	 * of its limit is used up.
	 * @param requestId identifier of the request
	 * @param serverId identifier of the preferred server instance
	 * @param otherServerId the server that gets the request instead, empty if there is
	 * none
	 */
	public synchronized void logMove(String requestId, String serverId, Optional<String> otherServerId) {
		this.log.event("limit", "moved", "id", requestId, "server", serverId, "to", otherServerId.orElse("none"),
				"sharePerS", roundedShare(serverId));
	}

	private double roundedShare(String serverId) {
		return Math.round(this.limits.sharePerS(serverId) * ROUNDING) / ROUNDING;
	}

	private void logLimit(String serverId, double limitPerS, String reason) {
		this.log.event("limit", (limitPerS > 0) ? "named" : "lifted", "server", serverId, "limitPerS", limitPerS,
				"sharePerS", roundedShare(serverId), "reason", reason);
	}

}
