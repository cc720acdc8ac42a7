package org.medlardrum.gateway.internal.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.medlardrum.coordination.internal.BackgroundThread;
import org.medlardrum.decisions.crash.Evidence;
import org.medlardrum.decisions.pool.ServerLoad;
import org.medlardrum.decisions.routing.LimitReport;
import org.medlardrum.decisions.routing.ServerSuspicions.Suspicion;
import org.medlardrum.gateway.internal.admission.DemandReport;
import org.medlardrum.gateway.internal.quarantine.RequestQuarantine;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.peer.gen.LeavingServer;
import org.medlardrum.peer.gen.RankDemand;
import org.medlardrum.peer.gen.ServerLimit;
import org.medlardrum.peer.gen.ServerShare;
import org.medlardrum.peer.gen.SilentServer;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostState;
import org.medlardrum.state.routing.ServerStart;

/**
 * Sends the other entry hosts this host's outstanding load at the backend servers and its
 * suspicions of unresponsive servers and of requests that crash servers. All hosts choose
 * chains concurrently; without the load of the others, each would consider the fastest
 * chain idle.
 */
public final class LoadExchange implements AutoCloseable {

	/**
	 * Interval between two digests while the host has outstanding load. In one interval
	 * all hosts together start about a tenth of the requests that one chain can hold.
	 */
	static final long BUSY_INTERVAL_MS = 300;

	/**
	 * Interval between two digests of an idle host, shorter than the expiry of its load
	 * at the other hosts.
	 */
	static final long IDLE_INTERVAL_MS = 1_000;

	/**
	 * Shortest interval between two digests, used to send a new suspicion early: a third
	 * of the time after which other hosts' streams through the server miss their target.
	 */
	static final long URGENT_INTERVAL_MS = 60;

	/**
	 * Limit of digests sent per second; sending them takes about 1% of a small host's
	 * processor.
	 */
	private static final int MAX_DIGESTS_PER_S = 100;

	/**
	 * Limit of load entries in a digest. With identifiers of 10 bytes, a digest stays
	 * under 1,200 bytes.
	 */
	private static final int MAX_SERVER_LOADS = 48;

	/**
	 * Number of load entries up to which the demand of all ranks, up to 240 bytes, is
	 * sent in the same datagram. A datagram of more than 1,400 bytes is not received.
	 */
	private static final int MAX_LOADS_BESIDE_DEMAND = 36;

	/**
	 * Servers at which requests hold slots come first: slots may run out before the KV
	 * cache, and the other hosts take an engine that is not told for idle.
	 */
	private static final Comparator<ServerLoad> MOST_RELEVANT_FIRST = Comparator
		.comparing((ServerLoad load) -> load.headSequences() == 0)
		.thenComparing((load) -> -load.tokenLayers());

	private static final int MAX_SUSPICIONS = 8;

	/** Limit of leaving servers in a digest, about 22 bytes each. */
	private static final int MAX_LEAVING_SERVERS = 12;

	/** Limit of the limits of servers in a digest, about 40 bytes each. */
	private static final int MAX_LIMIT_REPORTS = 24;

	/**
	 * Costs in digests are integers; a host may have less than one plain request per
	 * second, each of which is one unit of work.
	 */
	private static final double DEMAND_UNITS_PER_WORK = 1_000;

	private static final long MS_PER_S = 1_000;

	private final GatewayState state;

	private final LoadTable loads;

	private final RequestQuarantine quarantine;

	private final ServerLimits limits;

	private final ConfirmationExchange confirmations;

	private final BiConsumer<Host, Digest> sender;

	private final String hostId;

	private final String availabilityZone;

	private final String peerAddress;

	private final BackgroundThread thread = new BackgroundThread("load-exchange", this::step);

	private volatile List<Host> peers = List.of();

	private volatile boolean urgent;

	/** Whether the other hosts are asked to reply with their configuration versions. */
	private volatile boolean asksPeers;

	private volatile Supplier<List<DemandReport>> ownDemand = List::of;

	private volatile BiConsumer<String, List<DemandReport>> demandListener = (host, reports) -> {
	};

	private boolean wasIdle;

	private long sentAtMs = Long.MIN_VALUE / 2;

	/**
	 * Creates an exchange.
	 * @param state state of the host
	 * @param loads outstanding load at the backend servers
	 * @param quarantine requests that crash servers
	 * @param limits limits of requests that servers name
	 * @param sender sends a digest to another host without reporting its loss
	 * @param hostId identifier of the host
	 * @param availabilityZone availability zone of the host
	 * @param peerAddress {@code ip:port} at which the host receives digests
	 */
	public LoadExchange(GatewayState state, LoadTable loads, RequestQuarantine quarantine, ServerLimits limits,
			BiConsumer<Host, Digest> sender, String hostId, String availabilityZone, String peerAddress) {
		this.state = state;
		this.loads = loads;
		this.quarantine = quarantine;
		this.limits = limits;
		this.sender = sender;
		this.hostId = hostId;
		this.availabilityZone = availabilityZone;
		this.peerAddress = peerAddress;
		this.confirmations = new ConfirmationExchange(hostId, availabilityZone, peerAddress, sender, state.clock(),
				this::emptyDigest);
		state.onPeerQuery(this::askPeers);
		state.onSuspicion(this::requestUrgentDigest);
		quarantine.onChange(this::requestUrgentDigest);
		limits.onChange(this::requestUrgentDigest);
	}

	/**
	 * Sets the source of this host's demand and the receiver of that of other hosts.
	 * @param own supplies the demand at this host
	 * @param listener receives the identifier of another host and its demand; must not
	 * block
	 */
	public void exchangeDemand(Supplier<List<DemandReport>> own, BiConsumer<String, List<DemandReport>> listener) {
		this.ownDemand = own;
		this.demandListener = listener;
	}

	private void askPeers() {
		this.asksPeers = true;
		requestUrgentDigest();
	}

	private void requestUrgentDigest() {
		this.urgent = true;
		this.thread.wake();
	}

	/**
	 * Starts the background thread that sends digests.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * Replaces the set of other hosts.
	 * @param hosts the hosts without this one
	 */
	public void updatePeers(Collection<Host> hosts) {
		this.peers = List.copyOf(hosts);
		this.confirmations.updatePeers(hosts);
		this.state.updatePeers(hosts.stream().map(Host::id).toList());
		this.limits.updateHosts(hosts.stream().map(Host::id).toList());
	}

	/**
	 * Returns the exchange of confirmations with other hosts.
	 * @return the exchange
	 */
	public ConfirmationExchange confirmations() {
		return this.confirmations;
	}

	/**
	 * Returns the number of other hosts.
	 * @return the number of hosts
	 */
	public int peerCount() {
		return this.peers.size();
	}

	/**
	 * Receives a digest of another host.
	 * @param digest the digest
	 */
	public void receive(Digest digest) {
		if (digest.getHostId().equals(this.hostId)) {
			return;
		}
		this.confirmations.receive(digest);
		this.state.recordPeerVersion(digest.getHostId(), digest.getConfigVersion());
		if (digest.isReply() && digest.isSetReplyAddress()) {
			this.sender.accept(new Host(digest.getHostId(), digest.getAvailabilityZone(), "", digest.getReplyAddress(),
					"", HostState.LIVE), emptyDigest());
		}
		if (digest.isSetServerShares()) {
			Map<String, ServerLoad> loadByServer = new HashMap<>();
			for (ServerShare share : digest.getServerShares()) {
				loadByServer.put(share.getServer(),
						new ServerLoad(share.getTokenLayers(), share.getSequences(), share.getAsFirst()));
			}
			this.loads.updatePeer(digest.getHostId(), loadByServer, this.state.clock().monotonicMs());
		}
		if (digest.isSetRanks() && !digest.getRanks().isEmpty()) {
			this.demandListener.accept(digest.getHostId(),
					digest.getRanks()
						.stream()
						.filter((demand) -> demand.isSetPool() && demand.getRank() >= 0)
						.map(LoadExchange::decode)
						.toList());
		}
		if (digest.isSetCrashEvidence()) {
			this.quarantine.merge(
					digest.getCrashEvidence().stream().map(EvidenceCodec::decode).flatMap(Optional::stream).toList());
		}
		if (digest.isSetServerLimits()) {
			this.limits.merge(digest.getHostId(),
					digest.getServerLimits()
						.stream()
						.filter((limit) -> limit.getServer() != null)
						.map((limit) -> new LimitReport(limit.getServer(), limit.getLimitPerS(), limit.getAgeMs(),
								limit.getDemandPerS()))
						.toList());
		}
		if (digest.isSetLeavingServers()) {
			for (LeavingServer leaving : digest.getLeavingServers()) {
				if (leaving.isSetServer()) {
					this.state.recordPeerLeaving(digest.getHostId(),
							new ServerStart(leaving.getServer(), leaving.getStartedAtMs()));
				}
			}
		}
		this.state.recordPeerPaths(digest.getHostId(), digest.isCutOff(), digest.isDraining(),
				(digest.isSetAnsweredMsAgo()) ? digest.getAnsweredMsAgo() : -1);
		if (digest.isSetSilentServers() && !digest.isCutOff()) {
			for (SilentServer silent : digest.getSilentServers()) {
				this.state.recordPeerSuspicion(digest.getHostId(), new Suspicion(silent.getFromZone(),
						silent.getServer(), silent.getServerZone(), silent.getRemainingMs()));
			}
		}
	}

	/**
	 * Sends a digest to all other hosts if it is due.
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
		this.asksPeers = this.asksPeers && this.state.isAwaitingPeers();
		this.urgent = this.asksPeers;
		Map<String, ServerLoad> own = this.loads.own();
		List<Suspicion> suspicions = this.state.ownSuspicions();
		List<Evidence> evidence = this.quarantine.evidenceToTell();
		List<LimitReport> reports = this.limits.takeReports();
		List<DemandReport> demand = this.ownDemand.get();
		boolean idle = !this.state.isCutOff() && own.isEmpty() && demand.isEmpty() && suspicions.isEmpty()
				&& evidence.isEmpty() && reports.isEmpty() && this.state.leavingToTell().isEmpty();
		if (idle && !this.asksPeers && this.wasIdle && nowMs - this.sentAtMs < IDLE_INTERVAL_MS) {
			return busyIntervalMs;
		}
		this.wasIdle = idle;
		this.sentAtMs = nowMs;
		Digest digest = digest(own, suspicions);
		Digest demandDigest = (own.size() <= MAX_LOADS_BESIDE_DEMAND) ? digest : emptyDigest();
		if (!demand.isEmpty()) {
			demandDigest.setRanks(demand.stream().map(LoadExchange::encode).toList());
		}
		receivers.forEach((peer) -> this.sender.accept(peer, digest));
		if (demandDigest != digest && !demand.isEmpty()) {
			receivers.forEach((peer) -> this.sender.accept(peer, demandDigest));
		}
		// Each in a datagram of its own, since the loads may fill one.
		if (!evidence.isEmpty()) {
			Digest evidenceDigest = emptyDigest();
			evidenceDigest.setCrashEvidence(evidence.stream().map(EvidenceCodec::encode).toList());
			receivers.forEach((peer) -> this.sender.accept(peer, evidenceDigest));
		}
		if (!reports.isEmpty()) {
			Digest limitDigest = emptyDigest();
			limitDigest.setServerLimits(reports.stream().limit(MAX_LIMIT_REPORTS).map(LoadExchange::encode).toList());
			receivers.forEach((peer) -> this.sender.accept(peer, limitDigest));
		}
		return (this.urgent) ? URGENT_INTERVAL_MS : busyIntervalMs;
	}

	private static RankDemand encode(DemandReport report) {
		return new RankDemand(report.service(), (short) report.rank(),
				Math.round(report.demandPerS() * DEMAND_UNITS_PER_WORK),
				Math.round(report.servedPerS() * DEMAND_UNITS_PER_WORK));
	}

	private static DemandReport decode(RankDemand demand) {
		return new DemandReport(demand.getPool(), demand.getRank(),
				Math.max(0, demand.getDemandCostPerS()) / DEMAND_UNITS_PER_WORK,
				Math.max(0, demand.getServedCostPerS()) / DEMAND_UNITS_PER_WORK);
	}

	private static ServerLimit encode(LimitReport report) {
		return new ServerLimit(report.server(), report.limitPerS(), report.ageMs(), report.demandPerS());
	}

	private Digest emptyDigest() {
		Digest digest = new Digest();
		digest.setHostId(this.hostId);
		digest.setAvailabilityZone(this.availabilityZone);
		digest.setDraining(this.state.isDraining());
		digest.setConfigVersion(this.state.version());
		digest.setCutOff(this.state.isCutOff());
		if (this.state.answeredMsAgo() >= 0) {
			digest.setAnsweredMsAgo(this.state.answeredMsAgo());
		}
		return digest;
	}

	private Digest digest(Map<String, ServerLoad> own, List<Suspicion> suspicions) {
		Digest digest = emptyDigest();
		List<ServerShare> shares = new ArrayList<>();
		own.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByValue(MOST_RELEVANT_FIRST))
			.limit(MAX_SERVER_LOADS)
			.forEach((entry) -> shares.add(new ServerShare(entry.getKey(), entry.getValue().tokenLayers(),
					entry.getValue().sequences(), entry.getValue().headSequences())));
		digest.setServerShares(shares);
		List<SilentServer> silentServers = new ArrayList<>();
		suspicions.stream()
			.limit(MAX_SUSPICIONS)
			.forEach((suspicion) -> silentServers.add(new SilentServer(suspicion.fromZone(), suspicion.server(),
					suspicion.serverZone(), (int) suspicion.remainingMs())));
		digest.setSilentServers(silentServers);
		List<LeavingServer> leavingServers = this.state.leavingToTell()
			.reversed()
			.stream()
			.limit(MAX_LEAVING_SERVERS)
			.map((start) -> new LeavingServer(start.server(), start.startedAtMs()))
			.toList();
		if (!leavingServers.isEmpty()) {
			digest.setLeavingServers(leavingServers);
		}
		// A host that is cut off asks which hosts have paths to the servers.
		if (this.asksPeers || this.state.isCutOff()) {
			digest.setReply(true);
			digest.setReplyAddress(this.peerAddress);
		}
		return digest;
	}

}
