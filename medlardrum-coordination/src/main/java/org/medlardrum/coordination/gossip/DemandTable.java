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

	/** Limits the size of the table when digests carry forged host names. */
	private static final int MAX_HOSTS = 2_000;

	private final Map<String, HeardDemand> heard = new HashMap<>();

	private final long keepMs;

	private volatile Map<String, HeardDemand> published = Map.of();

	DemandTable(long keepMs) {
		this.keepMs = keepMs;
	}

	void heard(Digest digest, long nowMs) {
		if (digest.isSetRanks() && (this.heard.size() < MAX_HOSTS || this.heard.containsKey(digest.getHostId()))) {
			this.heard.put(digest.getHostId(), HeardDemand.of(digest, nowMs));
		}
	}

	void removeExpired(long nowMs) {
		this.heard.values().removeIf((demand) -> nowMs - demand.heardAtMs() > this.keepMs);
	}

	void publish() {
		this.published = Map.copyOf(this.heard);
	}

	Collection<HostDemand> of(String pool, HeardDemand own) {
		List<HostDemand> result = new ArrayList<>();
		result.add(own.of(pool));
		this.published.values().forEach((demand) -> result.add(demand.of(pool)));
		return result;
	}

}
