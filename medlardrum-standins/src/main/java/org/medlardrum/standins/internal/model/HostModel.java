package org.medlardrum.standins.internal.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.decisions.pool.ChainRequest;
import org.medlardrum.decisions.pool.ChainSearch;
import org.medlardrum.decisions.pool.PoolServer;
import org.medlardrum.decisions.pool.PoolSnapshot;
import org.medlardrum.decisions.pool.ServerLoad;
import org.medlardrum.decisions.routing.ServerSuspicions;
import org.medlardrum.decisions.routing.ServerSuspicions.Suspicion;

/**
 * Model of one entry host. It holds its own load on the servers exactly, the load of the
 * other hosts as of their last digest, and the servers that it or they suspect.
 */
final class HostModel {

	private final PoolModel model;

	private final String zone;

	private final Map<String, ServerLoad> ownLoads = new HashMap<>();

	private final Map<HostModel, Map<String, ServerLoad>> receivedLoads = new HashMap<>();

	private final ServerSuspicions ownSuspicions = new ServerSuspicions();

	private final ServerSuspicions receivedSuspicions = new ServerSuspicions();

	private double lastDigestAtMs;

	private boolean urgentDigestPending;

	HostModel(PoolModel model, String zone) {
		this.model = model;
		this.zone = zone;
	}

	String zone() {
		return this.zone;
	}

	/**
	 * Searches for a chain for a request.
	 * @param request the request
	 * @param excluded identifiers of engines that must not be used
	 * @param maxUtilisation maximum utilisation of the KV cache, empty for the limit of
	 * the rank
	 * @return the chain, empty if none has enough free capacity
	 */
	Optional<List<ChainHop>> findChain(ChainRequest request, Set<String> excluded, Optional<Double> maxUtilisation) {
		List<PoolServer> servers = this.model.registered()
			.stream()
			.filter((server) -> !excluded.contains(server.id()))
			.toList();
		ChainSearch search = new ChainSearch(
				new PoolSnapshot(this.model.pool(), servers, totalLoads(), this::isExcluded));
		return maxUtilisation.map((utilisation) -> search.find(request, utilisation))
			.orElseGet(() -> search.find(request));
	}

	boolean isExcluded(String fromZone, PoolServer server) {
		return isSuspect(fromZone, server.id(), server.availabilityZone());
	}

	boolean isSuspect(String fromZone, String server, String serverZone) {
		long nowMs = this.model.nowMs();
		return this.ownSuspicions.isSuspect(fromZone, server, serverZone, nowMs)
				|| this.receivedSuspicions.isSuspect(fromZone, server, serverZone, nowMs);
	}

	private Map<String, ServerLoad> totalLoads() {
		Map<String, ServerLoad> sum = new HashMap<>(this.ownLoads);
		this.receivedLoads.values()
			.forEach((loads) -> loads.forEach((server, load) -> sum.merge(server, load, ServerLoad::plus)));
		return sum;
	}

	// Adds the load of a request to the servers of its chain with sign 1, and removes it
	// with sign -1. The first server also counts it as a chain that begins there.
	void reserve(List<ChainHop> chain, int tokens, int sign) {
		for (int i = 0; i < chain.size(); i++) {
			ChainHop hop = chain.get(i);
			ServerLoad load = new ServerLoad((long) sign * tokens * hop.layers().length(), sign, (i == 0) ? sign : 0);
			this.ownLoads.merge(hop.server().id(), load, ServerLoad::plus);
		}
	}

	void suspect(String fromZone, PoolServer server, long forMs) {
		boolean alreadySuspect = isSuspect(fromZone, server.id(), server.availabilityZone());
		this.ownSuspicions.suspect(fromZone, server.id(), server.availabilityZone(), this.model.nowMs() + forMs);
		long urgentMs = this.model.urgentDigestMs();
		if (!alreadySuspect && urgentMs > 0 && !this.urgentDigestPending) {
			this.urgentDigestPending = true;
			this.model.queue()
				.schedule(Math.max(0, this.lastDigestAtMs + urgentMs - this.model.queue().nowMs()), this::sendDigest);
		}
	}

	/**
	 * Sends the load and the suspicions of this host to the other hosts.
	 */
	void sendDigest() {
		this.urgentDigestPending = false;
		this.lastDigestAtMs = this.model.queue().nowMs();
		Map<String, ServerLoad> loads = Map.copyOf(this.ownLoads);
		List<Suspicion> suspicions = this.ownSuspicions.entries(this.model.nowMs());
		for (HostModel other : this.model.hosts()) {
			if (other != this) {
				this.model.queue()
					.schedule(this.model.pool().delayMs(this.zone, other.zone),
							() -> other.receiveDigest(this, loads, suspicions));
			}
		}
	}

	private void receiveDigest(HostModel sender, Map<String, ServerLoad> loads, List<Suspicion> suspicions) {
		this.receivedLoads.put(sender, loads);
		suspicions.forEach((suspicion) -> this.receivedSuspicions.suspect(suspicion.fromZone(), suspicion.server(),
				suspicion.serverZone(), this.model.nowMs() + suspicion.remainingMs()));
	}

}
