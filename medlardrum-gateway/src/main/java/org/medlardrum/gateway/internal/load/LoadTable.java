package org.medlardrum.gateway.internal.load;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.decisions.pool.ServerLoad;

/**
 * Work at the backend servers: that of this host, exact, and that of other hosts as they
 * told it last. Reports of the servers themselves lag and cost a probe each.
 */
public final class LoadTable {

	/** Age after which a silent host's work is taken to have ended. */
	static final long PEER_EXPIRY_MS = 3_000;

	private final Map<String, ServerLoad> own = new ConcurrentHashMap<>();

	private final Map<String, PeerLoad> peers = new ConcurrentHashMap<>();

	/**
	 * Reserves an engine chain for a request.
	 * @param chain the chain
	 * @param tokens tokens that the request holds on each layer when it ends
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
	 * Reserves one slot of a plain service's server.
	 * @param server identifier of the server
	 * @return the reservation
	 */
	public Reservation reserveSlot(String server) {
		return reserve(Map.of(server, new ServerLoad(0, 1, 1)));
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
	}

	/**
	 * Replaces what another host told.
	 * @param host name of the host
	 * @param loads its work by server
	 * @param nowMs clock reading
	 */
	public void heard(String host, Map<String, ServerLoad> loads, long nowMs) {
		this.peers.put(host, new PeerLoad(Map.copyOf(loads), nowMs));
	}

	/**
	 * Returns this host's work.
	 * @return work by server
	 */
	public Map<String, ServerLoad> own() {
		return Map.copyOf(this.own);
	}

	/**
	 * Returns the work of all hosts.
	 * @param nowMs clock reading
	 * @return work by server
	 */
	public Map<String, ServerLoad> total(long nowMs) {
		Map<String, ServerLoad> sum = new HashMap<>(this.own);
		Collection<PeerLoad> heard = this.peers.values();
		heard.removeIf((peer) -> nowMs - peer.heardAtMs > PEER_EXPIRY_MS);
		for (PeerLoad peer : heard) {
			peer.loads.forEach((server, load) -> sum.merge(server, load, ServerLoad::plus));
		}
		return sum;
	}

	/**
	 * Returns how many other hosts told of their work lately.
	 * @return the number of hosts
	 */
	public int peerCount() {
		return this.peers.size();
	}

	private record PeerLoad(Map<String, ServerLoad> loads, long heardAtMs) {
	}

}
