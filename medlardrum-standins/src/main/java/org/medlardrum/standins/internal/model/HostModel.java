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
 * What one entry host knows: its own work exactly, that of the others as they told it
 * last, and the servers that it or they suspect.
 */
final class HostModel {

	private final PoolModel model;

	private final String zone;

	private final Map<String, ServerLoad> own = new HashMap<>();

	private final Map<HostModel, Map<String, ServerLoad>> heard = new HashMap<>();

	private final ServerSuspicions ownSuspicions = new ServerSuspicions();

	private final ServerSuspicions heardSuspicions = new ServerSuspicions();

	private double toldAtMs;

	private boolean urgent;

	HostModel(PoolModel model, String zone) {
		this.model = model;
		this.zone = zone;
	}

	String zone() {
		return this.zone;
	}

	/**
	 * Finds a chain.
	 * @param request the request
	 * @param excluded engines that must not be used
	 * @param maxFill largest part of the KV cache in use, empty for that of the rank
	 * @return the chain, empty when none has room
	 */
	Optional<List<ChainHop>> find(ChainRequest request, Set<String> excluded, Optional<Double> maxFill) {
		List<PoolServer> servers = this.model.registered()
			.stream()
			.filter((server) -> !excluded.contains(server.id()))
			.toList();
		ChainSearch search = new ChainSearch(new PoolSnapshot(this.model.pool(), servers, loads(), this::isAvoided));
		return maxFill.map((fill) -> search.find(request, fill)).orElseGet(() -> search.find(request));
	}

	boolean isAvoided(String fromZone, PoolServer server) {
		return isSuspect(fromZone, server.id(), server.availabilityZone());
	}

	boolean isSuspect(String fromZone, String server, String serverZone) {
		long nowMs = this.model.nowMs();
		return this.ownSuspicions.isSuspect(fromZone, server, serverZone, nowMs)
				|| this.heardSuspicions.isSuspect(fromZone, server, serverZone, nowMs);
	}

	private Map<String, ServerLoad> loads() {
		Map<String, ServerLoad> sum = new HashMap<>(this.own);
		this.heard.values()
			.forEach((loads) -> loads.forEach((server, load) -> sum.merge(server, load, ServerLoad::plus)));
		return sum;
	}

	void reserve(List<ChainHop> chain, int tokens, int sign) {
		for (int i = 0; i < chain.size(); i++) {
			ChainHop hop = chain.get(i);
			ServerLoad load = new ServerLoad((long) sign * tokens * hop.layers().length(), sign, (i == 0) ? sign : 0);
			this.own.merge(hop.server().id(), load, ServerLoad::plus);
		}
	}

	void suspect(String fromZone, PoolServer server, long forMs) {
		boolean known = isSuspect(fromZone, server.id(), server.availabilityZone());
		this.ownSuspicions.suspect(fromZone, server.id(), server.availabilityZone(), this.model.nowMs() + forMs);
		long urgentMs = this.model.urgentDigestMs();
		if (!known && urgentMs > 0 && !this.urgent) {
			this.urgent = true;
			this.model.queue().after(Math.max(0, this.toldAtMs + urgentMs - this.model.queue().nowMs()), this::tell);
		}
	}

	/**
	 * Tells the other hosts this host's work and suspicions.
	 */
	void tell() {
		this.urgent = false;
		this.toldAtMs = this.model.queue().nowMs();
		Map<String, ServerLoad> loads = Map.copyOf(this.own);
		List<Suspicion> suspicions = this.ownSuspicions.entries(this.model.nowMs());
		for (HostModel other : this.model.hosts()) {
			if (other != this) {
				this.model.queue()
					.after(this.model.pool().delayMs(this.zone, other.zone), () -> other.hear(this, loads, suspicions));
			}
		}
	}

	private void hear(HostModel other, Map<String, ServerLoad> loads, List<Suspicion> suspicions) {
		this.heard.put(other, loads);
		suspicions.forEach((suspicion) -> this.heardSuspicions.suspect(suspicion.fromZone(), suspicion.server(),
				suspicion.serverZone(), this.model.nowMs() + suspicion.remainingMs()));
	}

}
