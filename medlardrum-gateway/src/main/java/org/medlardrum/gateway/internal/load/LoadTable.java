package org.medlardrum.gateway.internal.load;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.decisions.pool.ServerLoad;

/**
 * Outstanding load at the backend servers: the exact load of this host and the last
 * reported load of the other hosts. The servers' own reports are not used, as they lag
 * and each costs a probe.
 */
public final class LoadTable {

	/**
	 * Age after which the last reported load of a host that sends no digests is
	 * discarded.
	 */
	static final long PEER_EXPIRY_MS = 3_000;

	private final Map<String, ServerLoad> own = new ConcurrentHashMap<>();

	private final Map<String, PeerLoad> peers = new ConcurrentHashMap<>();

	private volatile Runnable freedListener = () -> {
	};

	/**
	 * Sets the listener that runs when a reservation of this host ends or another host
	 * reports less load.
	 * @param listener must not block
	 */
	public void onFreed(Runnable listener) {
		this.freedListener = listener;
	}

	/**
	 * Reserves capacity on an engine chain for a request.
	 * @param chain the chain
	 * @param tokens number of tokens that the request holds in each layer's KV cache when
	 * it ends
	 * @return the reservation
	 */
	public Reservation reserve(List<ChainHop> chain, int tokens) {
		Map<String, ServerLoad> shares = new HashMap<>();
		for (int i = 0; i < chain.size(); i++) {
			ChainHop hop = chain.get(i);
			shares.put(hop.server().id(), new ServerLoad((long) tokens * hop.layers().length(), 1, (i == 0) ? 1 : 0));
		}
		return reserve(shares);
	}

	/**
	 * Reserves one slot at a server of a plain service.
	 * @param server identifier of the server
	 * @return the reservation
	 */
	public Reservation reserveSlot(String server) {
		return reserve(Map.of(server, new ServerLoad(0, 1, 1)));
	}

	/**
	 * Returns a reservation of a request that is passed on to another host, which
	 * reserves the capacity itself.
	 * @return an empty reservation
	 */
	public Reservation reserveNothing() {
		return reserve(Map.of());
	}

	private Reservation reserve(Map<String, ServerLoad> shares) {
		shares.forEach((server, load) -> this.own.merge(server, load, ServerLoad::plus));
		return new Reservation(this, shares);
	}

	void release(Map<String, ServerLoad> shares) {
		shares.forEach((server, load) -> this.own.computeIfPresent(server, (id, sum) -> {
			ServerLoad rest = sum.plus(new ServerLoad(-load.tokenLayers(), -load.sequences(), -load.headSequences()));
			return (rest.sequences() <= 0) ? null : rest;
		}));
		this.freedListener.run();
	}

	/**
	 * Replaces the reported load of another host.
	 * @param host identifier of the host
	 * @param loads its outstanding load by server
	 * @param nowMs current time on the monotonic clock
	 */
	public void updatePeer(String host, Map<String, ServerLoad> loads, long nowMs) {
		PeerLoad before = this.peers.put(host, new PeerLoad(Map.copyOf(loads), nowMs));
		if (before != null && before.loads.entrySet()
			.stream()
			.anyMatch((entry) -> isLess(loads.getOrDefault(entry.getKey(), ServerLoad.NONE), entry.getValue()))) {
			this.freedListener.run();
		}
	}

	private static boolean isLess(ServerLoad now, ServerLoad before) {
		return now.tokenLayers() < before.tokenLayers() || now.sequences() < before.sequences();
	}

	/**
	 * Returns the outstanding load of this host.
	 * @return load by server identifier
	 */
	public Map<String, ServerLoad> own() {
		return Map.copyOf(this.own);
	}

	/**
	 * Returns the outstanding load of all hosts and discards expired reports.
	 * @param nowMs current time on the monotonic clock
	 * @return load by server identifier
	 */
	public Map<String, ServerLoad> total(long nowMs) {
		Map<String, ServerLoad> sum = new HashMap<>(this.own);
		Collection<PeerLoad> peerLoads = this.peers.values();
		peerLoads.removeIf((peer) -> nowMs - peer.receivedAtMs > PEER_EXPIRY_MS);
		for (PeerLoad peer : peerLoads) {
			peer.loads.forEach((server, load) -> sum.merge(server, load, ServerLoad::plus));
		}
		return sum;
	}

	/**
	 * Returns the number of other hosts whose last reported load has not been discarded.
	 * @return the number of hosts
	 */
	public int peerCount() {
		return this.peers.size();
	}

	private record PeerLoad(Map<String, ServerLoad> loads, long receivedAtMs) {
	}

}
