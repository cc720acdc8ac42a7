package org.medlardrum.coordination.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.medlardrum.decisions.HostDemand;
import org.medlardrum.peer.gen.Digest;

/**
 * Demand of the peers whose digests were received recently. Modified by the gossip thread
 * only; other threads read the published copy.
 */
final class DemandTable {

	/** Limits the size of the table when digests carry forged host ids. */
	private static final int MAX_HOSTS = 2_000;

	private final Map<String, ReportedDemand> demandByHost = new HashMap<>();

	private final long keepMs;

	private volatile Map<String, ReportedDemand> published = Map.of();

	DemandTable(long keepMs) {
		this.keepMs = keepMs;
	}

	void update(Digest digest, long nowMs) {
		// A digest that only announces a new configuration version carries no demand; the
		// last demand reported by the host is kept.
		if (digest.isSetRanks()
				&& (this.demandByHost.size() < MAX_HOSTS || this.demandByHost.containsKey(digest.getHostId()))) {
			this.demandByHost.put(digest.getHostId(), ReportedDemand.of(digest, nowMs));
		}
	}

	void removeExpired(long nowMs) {
		this.demandByHost.values().removeIf((demand) -> nowMs - demand.receivedAtMs() > this.keepMs);
	}

	void publish() {
		this.published = Map.copyOf(this.demandByHost);
	}

	/**
	 * Returns the demand for a pool of the own host and of its peers.
	 * @param pool the pool
	 * @param ownDemand demand of the own host
	 * @return one entry for each host, that of the own host first
	 */
	Collection<HostDemand> demandFor(String pool, ReportedDemand ownDemand) {
		List<HostDemand> result = new ArrayList<>();
		result.add(ownDemand.forPool(pool));
		this.published.values().forEach((demand) -> result.add(demand.forPool(pool)));
		return result;
	}

}
