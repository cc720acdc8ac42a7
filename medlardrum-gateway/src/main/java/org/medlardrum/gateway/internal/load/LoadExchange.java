package org.medlardrum.gateway.internal.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.medlardrum.coordination.internal.BackgroundThread;
import org.medlardrum.decisions.pool.ServerLoad;
import org.medlardrum.decisions.routing.ServerSuspicions.Suspicion;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.peer.gen.ServerShare;
import org.medlardrum.peer.gen.SilentServer;
import org.medlardrum.state.Host;

/**
 * Tells the other entry hosts this host's work at the backend servers and the servers
 * that it found silent. Chains are chosen by all hosts at the same time; without the work
 * of the others each would see the fastest chain idle.
 */
public final class LoadExchange implements AutoCloseable {

	/**
	 * Time between two digests while there is work. In it all hosts together start about
	 * a tenth of what one chain holds.
	 */
	static final long BUSY_INTERVAL_MS = 300;

	/** Time between two digests of an idle host, below the expiry of its work. */
	static final long IDLE_INTERVAL_MS = 1_000;

	/**
	 * Shortest time between two digests, for a suspicion that the others should hear at
	 * once: a third of the time in which their streams through the server are late.
	 */
	static final long URGENT_INTERVAL_MS = 60;

	/** Digests sent in a second at most, about 1% of a small host's processor. */
	private static final int MAX_DIGESTS_PER_S = 100;

	/** Entries of a digest; with identifiers of 10 bytes they take under 1,200 bytes. */
	private static final int MAX_SHARES = 48;

	private static final int MAX_SUSPICIONS = 8;

	private static final long MS_PER_S = 1_000;

	private final GatewayState state;

	private final LoadTable loads;

	private final BiConsumer<Host, Digest> sender;

	private final String hostId;

	private final String availabilityZone;

	private final BackgroundThread thread = new BackgroundThread("load-exchange", this::step);

	private volatile List<Host> peers = List.of();

	private volatile boolean urgent;

	private boolean wasIdle;

	private long sentAtMs = Long.MIN_VALUE / 2;

	/**
	 * Creates an exchange.
	 * @param state what the host knows
	 * @param loads work at the servers
	 * @param sender sends a digest to another host; its loss is not reported
	 * @param hostId name of the host
	 * @param availabilityZone availability zone of the host
	 */
	public LoadExchange(GatewayState state, LoadTable loads, BiConsumer<Host, Digest> sender, String hostId,
			String availabilityZone) {
		this.state = state;
		this.loads = loads;
		this.sender = sender;
		this.hostId = hostId;
		this.availabilityZone = availabilityZone;
		state.onSuspicion(this::tellSoon);
	}

	private void tellSoon() {
		this.urgent = true;
		this.thread.wake();
	}

	/**
	 * Starts the thread that sends digests.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * Replaces the other hosts.
	 * @param hosts the hosts without this one
	 */
	public void peers(Collection<Host> hosts) {
		this.peers = List.copyOf(hosts);
	}

	/**
	 * Returns the number of other hosts.
	 * @return the number
	 */
	public int peerCount() {
		return this.peers.size();
	}

	/**
	 * Takes a digest of another host.
	 * @param digest the digest
	 */
	public void receive(Digest digest) {
		if (digest.getHostId().equals(this.hostId)) {
			return;
		}
		Map<String, ServerLoad> heard = new HashMap<>();
		if (digest.isSetServerShares()) {
			for (ServerShare share : digest.getServerShares()) {
				heard.put(share.getServer(),
						new ServerLoad(share.getTokenLayers(), share.getSequences(), share.getAsFirst()));
			}
		}
		this.loads.heard(digest.getHostId(), heard, this.state.clock().monotonicMs());
		if (digest.isSetSilentServers()) {
			for (SilentServer silent : digest.getSilentServers()) {
				this.state.heard(new Suspicion(silent.getFromZone(), silent.getServer(), silent.getServerZone(),
						silent.getRemainingMs()));
			}
		}
	}

	/**
	 * Sends digests when they are due.
	 * @return time until the next step, in milliseconds
	 */
	long step() {
		List<Host> receivers = this.peers;
		long busyIntervalMs = Math.max(BUSY_INTERVAL_MS, receivers.size() * MS_PER_S / MAX_DIGESTS_PER_S);
		long nowMs = this.state.clock().monotonicMs();
		long dueInMs = this.sentAtMs + ((this.urgent) ? URGENT_INTERVAL_MS : busyIntervalMs) - nowMs;
		if (dueInMs > 0) {
			return dueInMs;
		}
		this.urgent = false;
		Map<String, ServerLoad> own = this.loads.own();
		List<Suspicion> suspicions = this.state.ownSuspicions();
		boolean idle = own.isEmpty() && suspicions.isEmpty();
		if (idle && this.wasIdle && nowMs - this.sentAtMs < IDLE_INTERVAL_MS) {
			return busyIntervalMs;
		}
		this.wasIdle = idle;
		this.sentAtMs = nowMs;
		Digest digest = digest(own, suspicions);
		receivers.forEach((peer) -> this.sender.accept(peer, digest));
		return busyIntervalMs;
	}

	private Digest digest(Map<String, ServerLoad> own, List<Suspicion> suspicions) {
		Digest digest = new Digest();
		digest.setHostId(this.hostId);
		digest.setAvailabilityZone(this.availabilityZone);
		digest.setDraining(this.state.isDraining());
		List<ServerShare> shares = new ArrayList<>();
		own.entrySet()
			.stream()
			.sorted(Comparator.comparingLong((Map.Entry<String, ServerLoad> entry) -> -entry.getValue().tokenLayers()))
			.limit(MAX_SHARES)
			.forEach((entry) -> shares.add(new ServerShare(entry.getKey(), entry.getValue().tokenLayers(),
					entry.getValue().sequences(), entry.getValue().headSequences())));
		digest.setServerShares(shares);
		List<SilentServer> silent = new ArrayList<>();
		suspicions.stream()
			.limit(MAX_SUSPICIONS)
			.forEach((suspicion) -> silent.add(new SilentServer(suspicion.fromZone(), suspicion.server(),
					suspicion.serverZone(), (int) suspicion.remainingMs())));
		digest.setSilentServers(silent);
		return digest;
	}

}
