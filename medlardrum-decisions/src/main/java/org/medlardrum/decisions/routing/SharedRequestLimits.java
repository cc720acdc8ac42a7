package org.medlardrum.decisions.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

import org.medlardrum.decisions.DecayingRate;

/**
 * Limits that servers in need name for the requests of all entry hosts together. Each
 * host takes a share without a coordinator: a small part of the limit is divided evenly,
 * the rest by the demand that the hosts have told each other, so that the shares add up
 * to the limit and hosts without demand leave theirs to the others. A host that has left
 * the registry no longer counts; one that is merely silent keeps its share. Times are
 * those of the host's monotonic clock. Not thread-safe.
 *
 * <pre>
 * limits.recordLimit("server-1", OptionalDouble.of(7.5), nowMs);
 * if (limits.tryTake("server-1", nowMs)) {
 *     // Send the request.
 * }
 * </pre>
 */
public final class SharedRequestLimits {

	/**
	 * Part of a limit that the hosts use; the rest absorbs reports that are still on
	 * their way.
	 */
	static final double USED_FRACTION = 0.9;

	/**
	 * Part of the used limit that is divided evenly, so that a host with new demand can
	 * begin.
	 */
	static final double EVEN_FRACTION = 0.2;

	/**
	 * Demand of all hosts, as a fraction of the limit, below which requests are not
	 * rationed. Many hosts with little demand each would otherwise wait for their shares
	 * although the server has room.
	 */
	static final double UNRATIONED_FRACTION = 0.6;

	/** Time constant of the demand: several digests. */
	private static final double DEMAND_TIME_CONSTANT_MS = 1_500;

	/** Time over which an unused share accumulates. */
	private static final double MAX_UNUSED_MS = 250;

	/** Time after which a limit that no answer has confirmed is forgotten. */
	private static final long RETENTION_MS = 20_000;

	private static final int FIRST_TOKENS_STEPS = 1_000;

	private static final double MS_PER_S = 1_000;

	private final Map<String, Limit> limits = new HashMap<>();

	private final String hostId;

	private Set<String> otherHosts = Set.of();

	/**
	 * Creates a table without limits.
	 * @param hostId identifier of this host
	 */
	public SharedRequestLimits(String hostId) {
		this.hostId = hostId;
	}

	/**
	 * Replaces the set of other hosts that share the limits.
	 * @param hosts identifiers of the hosts without this one
	 */
	public void updateHosts(Collection<String> hosts) {
		this.otherHosts = Set.copyOf(hosts);
		this.limits.values().forEach((limit) -> limit.demandByHost.keySet().retainAll(this.otherHosts));
	}

	/**
	 * Records what an answer of a server says about its limit.
	 * @param server identifier of the server instance
	 * @param limitPerS requests per second from all hosts together, empty if the answer
	 * names no limit
	 * @param nowMs current time
	 * @return {@code true} if the limit has changed
	 */
	public boolean recordLimit(String server, OptionalDouble limitPerS, long nowMs) {
		if (limitPerS.isEmpty() && !this.limits.containsKey(server)) {
			return false;
		}
		return update(server, limitPerS.orElse(0), nowMs, nowMs);
	}

	// Spreads the first requests of the hosts over the time in which each gets one.
	private double firstTokens(String server) {
		int hash = 31 * server.hashCode() + this.hostId.hashCode();
		return Math.floorMod(hash ^ (hash >>> 16), FIRST_TOKENS_STEPS) / (double) FIRST_TOKENS_STEPS;
	}

	private boolean update(String server, double limitPerS, long saidAtMs, long nowMs) {
		Limit limit = this.limits.computeIfAbsent(server, (key) -> new Limit(firstTokens(server), nowMs));
		if (saidAtMs < limit.saidAtMs) {
			return false;
		}
		limit.refill(share(limit), nowMs);
		boolean changed = limit.perS != limitPerS;
		limit.perS = limitPerS;
		limit.saidAtMs = saidAtMs;
		return changed;
	}

	/**
	 * Records that this host would send a request to a server, whether or not the limit
	 * lets it.
	 * @param server identifier of the server instance
	 * @param nowMs current time
	 */
	public void recordDemand(String server, long nowMs) {
		Limit limit = this.limits.get(server);
		if (limit != null) {
			limit.demand.add(1, nowMs);
		}
	}

	/**
	 * Returns whether a request may be sent to a server now.
	 * @param server identifier of the server instance
	 * @param nowMs current time
	 * @return {@code false} if this host has used up its share of the limit
	 */
	public boolean isAllowed(String server, long nowMs) {
		Limit limit = this.limits.get(server);
		if (limit == null || limit.perS <= 0) {
			return true;
		}
		if (nowMs - limit.saidAtMs > RETENTION_MS) {
			this.limits.remove(server);
			return true;
		}
		if (!isRationed(limit, nowMs)) {
			limit.startFrom(firstTokens(server), nowMs);
			return true;
		}
		limit.refill(share(limit), nowMs);
		return limit.tokens >= 1;
	}

	private boolean isRationed(Limit limit, long nowMs) {
		double own = Math.max(limit.toldDemandPerS, limit.demand.costPerS(nowMs));
		return own + limit.otherDemandPerS() >= UNRATIONED_FRACTION * limit.perS;
	}

	/**
	 * Takes one request from this host's share of a server's limit.
	 * @param server identifier of the server instance
	 * @param nowMs current time
	 * @return {@code false} if the share is used up
	 */
	public boolean tryTake(String server, long nowMs) {
		if (!isAllowed(server, nowMs)) {
			return false;
		}
		Limit limit = this.limits.get(server);
		if (limit != null && limit.perS > 0 && isRationed(limit, nowMs)) {
			limit.tokens -= 1;
		}
		return true;
	}

	/**
	 * Returns this host's share of a server's limit.
	 * @param server identifier of the server instance
	 * @return requests per second, {@link Double#POSITIVE_INFINITY} without a limit
	 */
	public double sharePerS(String server) {
		Limit limit = this.limits.get(server);
		return (limit == null || limit.perS <= 0) ? Double.POSITIVE_INFINITY : share(limit);
	}

	private double share(Limit limit) {
		int hosts = this.otherHosts.size() + 1;
		double sum = limit.toldDemandPerS + limit.otherDemandPerS();
		double byDemand = (sum > 0) ? limit.toldDemandPerS / sum : 1.0 / hosts;
		return limit.perS * USED_FRACTION * (EVEN_FRACTION / hosts + (1 - EVEN_FRACTION) * byDemand);
	}

	/**
	 * Returns what this host knows of the limits, and fixes its own demand until the next
	 * call: the hosts divide a limit by the demand that they have told.
	 * @param nowMs current time
	 * @return a report for each server that names or lately named a limit
	 */
	public List<LimitReport> takeReports(long nowMs) {
		this.limits.values().removeIf((limit) -> nowMs - limit.saidAtMs > RETENTION_MS);
		List<LimitReport> reports = new ArrayList<>();
		this.limits.forEach((server, limit) -> {
			limit.refill(share(limit), nowMs);
			limit.toldDemandPerS = limit.demand.costPerS(nowMs);
			reports.add(new LimitReport(server, limit.perS, nowMs - limit.saidAtMs, limit.toldDemandPerS));
		});
		return reports;
	}

	/**
	 * Merges a report of another host. The server's latest statement applies.
	 * @param host identifier of the host
	 * @param report the report
	 * @param nowMs current time
	 * @return {@code true} if the limit has changed
	 */
	public boolean merge(String host, LimitReport report, long nowMs) {
		if (report.ageMs() > RETENTION_MS || !(report.limitPerS() >= 0) || !(report.demandPerS() >= 0)) {
			return false;
		}
		if (report.limitPerS() == 0 && !this.limits.containsKey(report.server())) {
			return false;
		}
		boolean changed = update(report.server(), report.limitPerS(), nowMs - report.ageMs(), nowMs);
		Limit limit = this.limits.get(report.server());
		limit.refill(share(limit), nowMs);
		if (this.otherHosts.contains(host)) {
			limit.demandByHost.put(host, report.demandPerS());
		}
		return changed;
	}

	/**
	 * Returns the servers that name a limit.
	 * @return identifiers of the server instances
	 */
	public Set<String> limitedServers() {
		Set<String> servers = new HashSet<>();
		this.limits.forEach((server, limit) -> {
			if (limit.perS > 0) {
				servers.add(server);
			}
		});
		return servers;
	}

	private static final class Limit {

		private double perS;

		private long saidAtMs = Long.MIN_VALUE / 2;

		private double tokens;

		private long refilledAtMs;

		private double toldDemandPerS;

		private final DecayingRate demand = new DecayingRate(DEMAND_TIME_CONSTANT_MS);

		private final Map<String, Double> demandByHost = new HashMap<>();

		Limit(double firstTokens, long nowMs) {
			this.tokens = firstTokens;
			this.refilledAtMs = nowMs;
		}

		double otherDemandPerS() {
			return this.demandByHost.values().stream().mapToDouble(Double::doubleValue).sum();
		}

		void startFrom(double firstTokens, long nowMs) {
			this.tokens = firstTokens;
			this.refilledAtMs = nowMs;
		}

		void refill(double sharePerS, long nowMs) {
			double sharePerMs = sharePerS / MS_PER_S;
			double max = Math.max(1, sharePerMs * MAX_UNUSED_MS);
			this.tokens = Math.min(max, this.tokens + sharePerMs * Math.max(0, nowMs - this.refilledAtMs));
			this.refilledAtMs = nowMs;
		}

	}

}
