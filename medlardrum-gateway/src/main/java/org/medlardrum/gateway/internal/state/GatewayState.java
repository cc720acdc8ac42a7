package org.medlardrum.gateway.internal.state;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.medlardrum.decisions.routing.BackendLinks;
import org.medlardrum.decisions.routing.ConfigFreshness;
import org.medlardrum.decisions.routing.InstanceReports;
import org.medlardrum.decisions.routing.LeavingServers;
import org.medlardrum.decisions.routing.PeerConfigVersions;
import org.medlardrum.decisions.routing.PeerPaths;
import org.medlardrum.decisions.routing.ServerSuspicions;
import org.medlardrum.gateway.GatewayClock;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.RoutingTable;
import org.medlardrum.state.routing.ServerStart;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Routes, backend servers and suspicions recorded at this host. Written by the thread
 * that watches the store and by the thread that receives digests of other hosts; read by
 * all requests.
 */
public final class GatewayState {

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final GatewayClock clock;

	private final DecisionLog log;

	private final ConfigFreshness freshness;

	private final PeerConfigVersions peerVersions = new PeerConfigVersions();

	/** Confirmation that counts once the other hosts have answered. */
	private Confirmation pendingConfirmation;

	private final InstanceReports reports = new InstanceReports();

	private Collection<ServiceInstance> registered = List.of();

	private final LeavingServers leavingServers = new LeavingServers();

	private boolean restoring;

	private final ServerSuspicions suspicions = new ServerSuspicions();

	private final BackendLinks links = new BackendLinks();

	private final PeerPaths peerPaths = new PeerPaths();

	private volatile boolean cutOff;

	private volatile BooleanSupplier warming = () -> false;

	/** Runs when this host has lost its links to the servers. */
	private volatile Runnable cutOffListener = () -> {
	};

	/** Time of the last answer of a server, on the monotonic clock. */
	private volatile long answeredAtMs = NEVER_MS;

	/**
	 * Time of the stop request on the monotonic clock, {@link Long#MAX_VALUE} before it.
	 */
	private volatile long drainingSinceMs = Long.MAX_VALUE;

	/** Runs when the other hosts are to be asked for their configuration versions. */
	private volatile Runnable peerQuery = () -> {
	};

	/** Runs when this host suspects a server that no host suspected before. */
	private volatile Runnable suspicionListener = () -> {
	};

	/** Runs when another configuration is in force. */
	private volatile Runnable configurationListener = () -> {
	};

	/** Era of the store, negative before the first copy. */
	private volatile long storeEra = -1;

	private volatile RoutingTable table;

	private volatile FleetView fleet = new FleetView(List.of(), null);

	private final LeavingTimes leavingTimes = new LeavingTimes();

	/** Supplies suspicions that are told to the other hosts in addition. */
	private volatile Supplier<List<ServerSuspicions.Suspicion>> denialsToTell = List::of;

	/**
	 * Creates a state without configuration and servers.
	 * @param clock the clocks
	 * @param log the log
	 * @param keyFreshnessMs longest age of the last confirmation of the configuration at
	 * which it counts as fresh
	 */
	public GatewayState(GatewayClock clock, DecisionLog log, long keyFreshnessMs) {
		this.clock = clock;
		this.log = log;
		this.freshness = new ConfigFreshness(keyFreshnessMs);
	}

	/**
	 * Applies a configuration if its version is newer than that of the active one.
	 * @param next the configuration
	 */
	public synchronized void configure(RoutingTable next) {
		RoutingTable active = this.table;
		if (active != null && next.version() <= active.version()) {
			if (next.version() < active.version()) {
				this.log.event("config", "ignored", "version", next.version(), "inForce", active.version());
			}
			return;
		}
		this.table = next;
		this.fleet = new FleetView(this.fleet.all(), next);
		this.suspicions.setDiscountsJointLosses(next.services().stream().anyMatch(RoutedService::hasScarceZoneLinks));
		this.log.event("config", "in-force", "version", next.version(), "before",
				(active != null) ? active.version() : "none");
		this.configurationListener.run();
	}

	/**
	 * Sets the listener that runs when another configuration is in force.
	 * @param listener must not block
	 */
	public void onConfiguration(Runnable listener) {
		this.configurationListener = listener;
	}

	/**
	 * Replaces the registered servers.
	 * @param instances the servers
	 */
	public synchronized void updateInstances(Collection<ServiceInstance> instances) {
		long nowMs = this.clock.monotonicMs();
		this.registered = instances;
		this.restoring = this.reports.isRestoring(nowMs);
		FleetView before = this.fleet;
		List<ServiceInstance> believed = instances.stream().map(this.leavingServers::correct).toList();
		FleetView after = new FleetView(this.reports.update(believed, nowMs), this.table);
		for (ServiceInstance old : before.all()) {
			Optional<ServiceInstance> now = after.instance(old.id());
			if (now.isEmpty()) {
				this.log.event("fleet", "removed", "server", old.id(), "address", old.address(), "zone",
						old.availabilityZone());
			}
			else if (now.get().draining() && !old.draining()) {
				this.log.event("fleet", "draining", "server", old.id(), "address", old.address());
			}
		}
		for (ServiceInstance instance : after.all()) {
			Optional<ServiceInstance> old = before.instance(instance.id());
			if (old.isEmpty() || !old.get().layers().equals(instance.layers())) {
				this.log.event("fleet", "seen", "server", instance.id(), "address", instance.address(), "zone",
						instance.availabilityZone(), "kind", instance.acceleratorKind(), "layers",
						instance.layers().map((range) -> range.fromLayer() + "-" + range.toLayer()).orElse("none"));
			}
		}
		this.leavingTimes.update(before, after, nowMs);
		this.fleet = after;
		this.suspicions.retainAnswers((id) -> after.instance(id).isPresent());
	}

	/**
	 * Records that a server has said in a response that it is leaving. The registry may
	 * learn of it later, or not at all.
	 * @param start start of the server
	 * @param requestId identifier of the request
	 */
	public synchronized void recordLeaving(ServerStart start, String requestId) {
		if (this.leavingServers.record(start, this.clock.monotonicMs())) {
			this.log.event("fleet", "leaving", "server", start.server(), "id", requestId);
			updateInstances(this.registered);
			this.suspicionListener.run();
		}
	}

	/**
	 * Records that another host has told that a server is leaving.
	 * @param hostId identifier of the host
	 * @param start start of the server
	 */
	public synchronized void recordPeerLeaving(String hostId, ServerStart start) {
		if (this.leavingServers.recordTold(start)) {
			this.log.event("fleet", "leaving", "server", start.server(), "host", hostId);
			updateInstances(this.registered);
		}
	}

	/**
	 * Returns the servers of which the other hosts are to be told that they are leaving.
	 * @return their starts
	 */
	public List<ServerStart> leavingToTell() {
		return this.leavingServers.toTell(this.clock.monotonicMs());
	}

	/**
	 * Returns whether a server has said that it is leaving.
	 * @param server report of the server in the registry
	 * @return {@code true} until it starts again
	 */
	public boolean isLeaving(ServiceInstance server) {
		return this.leavingServers.contains(server);
	}

	/**
	 * Records the era of the store from which configuration and servers are read.
	 * @param era number of the store's history
	 */
	public synchronized void recordStoreEra(long era) {
		if (this.storeEra >= 0) {
			this.reports.recordRestore(this.clock.monotonicMs());
		}
		this.storeEra = era;
		this.peerVersions.beginHistory(this.clock.monotonicMs());
		this.peerQuery.run();
	}

	/**
	 * Returns the era of the store.
	 * @return number of the store's history, 0 before the first copy
	 */
	public long storeEra() {
		return Math.max(0, this.storeEra);
	}

	/**
	 * Records that the configuration and the servers were up to date.
	 * @param monotonicMs time of the confirmation on the monotonic clock
	 * @param wallMs time of the confirmation in Unix milliseconds
	 */
	public void recordConfirmation(long monotonicMs, long wallMs) {
		synchronized (this) {
			this.pendingConfirmation = new Confirmation(monotonicMs, wallMs);
		}
		countPendingConfirmation();
		believeRegistryAgain();
	}

	private synchronized void countPendingConfirmation() {
		if (this.pendingConfirmation != null
				&& this.peerVersions.allowsConfirmation(version(), this.clock.monotonicMs())) {
			this.freshness.recordConfirmation(this.pendingConfirmation.monotonicMs, this.pendingConfirmation.wallMs);
			this.pendingConfirmation = null;
		}
	}

	/**
	 * Sets the action that asks the other hosts for their configuration versions.
	 * @param action must not block
	 */
	public void onPeerQuery(Runnable action) {
		this.peerQuery = action;
	}

	/**
	 * Replaces the other hosts whose configuration versions count.
	 * @param hostIds their identifiers
	 */
	public void updatePeers(Collection<String> hostIds) {
		this.peerVersions.updatePeers(hostIds);
	}

	/**
	 * Records the version of the configuration that another host has in force.
	 * @param hostId identifier of the host
	 * @param version the version, 0 for none
	 */
	public void recordPeerVersion(String hostId, long version) {
		if (this.peerVersions.record(hostId, version) && version > version()) {
			this.log.event("config", "behind", "host", hostId, "version", version, "inForce", version(), "era",
					this.storeEra);
		}
	}

	/**
	 * Returns whether confirmations do not count yet, since other hosts may know a newer
	 * configuration.
	 * @return {@code true} while their answers are awaited
	 */
	public boolean isAwaitingPeers() {
		return this.peerVersions.isAwaiting(this.clock.monotonicMs());
	}

	/**
	 * Returns the highest version of the configuration that another host has in force.
	 * @return the version, 0 for none
	 */
	public long highestPeerVersion() {
		return this.peerVersions.highestVersion();
	}

	/**
	 * Returns the version of the active configuration.
	 * @return the version, 0 before the first one
	 */
	public long version() {
		RoutingTable active = this.table;
		return (active != null) ? active.version() : 0;
	}

	private synchronized void believeRegistryAgain() {
		if (this.restoring && !this.reports.isRestoring(this.clock.monotonicMs())) {
			updateInstances(this.registered);
		}
	}

	/**
	 * Returns the age of the last confirmation of the configuration.
	 * @return the age in milliseconds
	 */
	public long confirmationAgeMs() {
		countPendingConfirmation();
		return this.freshness.ageMs(this.clock.monotonicMs(), this.clock.wallMs());
	}

	/**
	 * Returns whether requests with an API key may be served.
	 * @return {@code true} if the configuration was confirmed recently enough
	 */
	public boolean isFresh() {
		countPendingConfirmation();
		long nowMs = this.clock.monotonicMs();
		return !this.peerVersions.refutesConfirmations(version(), nowMs)
				&& this.freshness.isFresh(nowMs, this.clock.wallMs());
	}

	/**
	 * Finds a server that has been leaving for at least a given time. A server is leaving
	 * once it is draining, removed or restarted.
	 * @param ids identifiers of the servers
	 * @param ageMs the time in milliseconds
	 * @return the identifier of the first such server, empty if there is none
	 */
	public Optional<String> findLeavingForAtLeast(Collection<String> ids, long ageMs) {
		return this.leavingTimes.findForAtLeast(ids, ageMs, this.clock.monotonicMs());
	}

	/**
	 * Suspects a server that this host found unresponsive, unless this host is cut off.
	 * @param fromZone availability zone from which the server was called
	 * @param server the server
	 */
	public void suspect(String fromZone, ServiceInstance server) {
		if (isCutOff()) {
			return;
		}
		logSuspicion(fromZone, server, ServerSuspicions.UNRESPONSIVE_SUSPICION_MS);
		boolean alreadySuspect = isSuspect(fromZone, server.id(), server.availabilityZone());
		this.suspicions.suspectUnresponsive(fromZone, server.id(), server.availabilityZone(), this.clock.monotonicMs());
		if (!alreadySuspect) {
			this.suspicionListener.run();
		}
	}

	/**
	 * Suspects for a short time a server that refused its part of a chain. It may be
	 * loading layers, leaving or short of memory.
	 * @param fromZone availability zone from which the server was called
	 * @param server the server
	 */
	public void suspectRefusing(String fromZone, ServiceInstance server) {
		logSuspicion(fromZone, server, ServerSuspicions.REFUSED_SUSPICION_MS);
		boolean alreadySuspect = isSuspect(fromZone, server.id(), server.availabilityZone());
		this.suspicions.suspect(fromZone, server.id(), server.availabilityZone(),
				this.clock.monotonicMs() + ServerSuspicions.REFUSED_SUSPICION_MS);
		if (!alreadySuspect) {
			this.suspicionListener.run();
		}
	}

	private void logSuspicion(String fromZone, ServiceInstance server, long forMs) {
		this.log.event("fleet", "suspect", "server", server.id(), "address", server.address(), "zone",
				server.availabilityZone(), "seenFrom", fromZone, "forMs", forMs);
	}

	/**
	 * Records that a connection to a server was set up.
	 * @param server identifier of the server
	 */
	public void recordReached(String server) {
		this.links.recordReached(server, this.clock.monotonicMs());
		updateCutOff();
	}

	/**
	 * Records that no connection to a server could be set up.
	 * @param server identifier of the server
	 */
	public void recordUnreachable(String server) {
		this.links.recordUnreachable(server, this.clock.monotonicMs());
		updateCutOff();
	}

	private void updateCutOff() {
		boolean now = this.links.isCutOff(this.clock.monotonicMs());
		if (now == this.cutOff) {
			return;
		}
		this.cutOff = now;
		this.log.event("links", (now) ? "cut-off" : "restored", "unreachable", unreachableServers().size(), "servers",
				this.fleet.all().size(), "answeredMsAgo", answeredMsAgo(), "hostsWithPaths", hostsWithPaths().size());
		this.suspicionListener.run();
		if (now) {
			this.cutOffListener.run();
		}
	}

	/**
	 * Sets the listener that runs when this host has lost its links to the servers.
	 * @param listener must not block
	 */
	public void onCutOff(Runnable listener) {
		this.cutOffListener = listener;
	}

	/**
	 * Returns whether this host has lost its links to the backend servers.
	 * @return {@code true} if requests should go through another host
	 */
	public boolean isCutOff() {
		if (this.cutOff) {
			updateCutOff();
		}
		return this.cutOff;
	}

	/**
	 * Records that the connections to a server broke and nobody listens there any more.
	 * @param address address of the server
	 * @param startedAtMs time at which the first of these connections was begun
	 */
	public void recordVanished(String address, long startedAtMs) {
		this.links.recordVanished(address, startedAtMs, this.clock.monotonicMs());
	}

	/**
	 * Returns whether a server that vanished may be sound, because others vanished at the
	 * same moment.
	 * @param address address of the server
	 * @return {@code true} if no request should be blamed
	 */
	public boolean mayHaveLostLink(String address) {
		return this.links.vanishedWithOthers(address, this.clock.monotonicMs());
	}

	/**
	 * Returns whether this host reaches fewer servers than it does not.
	 * @return {@code true} if another host may serve what this one cannot
	 */
	public boolean hasDegradedLinks() {
		return this.links.isDegraded(this.clock.monotonicMs());
	}

	/**
	 * Returns the servers to which no connection could be set up lately.
	 * @return their identifiers
	 */
	public List<String> unreachableServers() {
		return this.links.unreachable(this.clock.monotonicMs());
	}

	/**
	 * Records an answer of a server to this host.
	 * @param fromZone availability zone of the server's predecessor
	 * @param server identifier of the server
	 */
	public void recordAnswer(String fromZone, String server) {
		long nowMs = this.clock.monotonicMs();
		this.answeredAtMs = nowMs;
		this.fleet.instance(server)
			.ifPresentOrElse((known) -> this.suspicions.recordAnswer(fromZone, server, known.availabilityZone(), nowMs),
					() -> this.suspicions.recordAnswer(fromZone, server, nowMs));
	}

	/**
	 * Returns the age of the last answer of a server.
	 * @return the age in milliseconds, negative without an answer
	 */
	public long answeredMsAgo() {
		long atMs = this.answeredAtMs;
		return (atMs != NEVER_MS) ? Math.max(0, this.clock.monotonicMs() - atMs) : -1;
	}

	/**
	 * Records what another host tells about its paths to the servers. Suspicions of a
	 * host that is cut off do not count.
	 * @param hostId identifier of the host
	 * @param hostCutOff whether it has lost its links to the servers
	 * @param draining whether it is draining
	 * @param hostAnsweredMsAgo age of the last answer that it received, negative for none
	 */
	public void recordPeerPaths(String hostId, boolean hostCutOff, boolean draining, long hostAnsweredMsAgo) {
		this.peerPaths.record(hostId, !hostCutOff && !draining, hostAnsweredMsAgo, this.clock.monotonicMs());
		if (hostCutOff) {
			this.suspicions.forget(hostId);
		}
	}

	/**
	 * Records that another host refused a request that was passed on to it.
	 * @param hostId identifier of the host
	 */
	public void recordRelayRefusal(String hostId) {
		this.peerPaths.recordRefusal(hostId);
	}

	/**
	 * Returns the other hosts that received answers of servers lately.
	 * @return their identifiers
	 */
	public List<String> hostsWithPaths() {
		return this.peerPaths.usable(this.clock.monotonicMs());
	}

	/**
	 * Sets the listener that runs when this host suspects a server that no host suspected
	 * before.
	 * @param listener must not block
	 */
	public void onSuspicion(Runnable listener) {
		this.suspicionListener = listener;
	}

	/**
	 * Clears this host's suspicion of a server that responded.
	 * @param fromZone availability zone from which the server was called
	 * @param server identifier of the server
	 */
	public void clearSuspicion(String fromZone, String server) {
		this.suspicions.clearSuspicion(fromZone, server);
	}

	/**
	 * Records a suspicion received from another host.
	 * @param hostId identifier of the host
	 * @param suspicion the suspicion
	 */
	public void recordPeerSuspicion(String hostId, ServerSuspicions.Suspicion suspicion) {
		this.suspicions.suspectTold(hostId, suspicion, this.clock.monotonicMs());
	}

	/**
	 * Returns this host's own suspicions.
	 * @return the suspicions, none while this host is cut off
	 */
	public List<ServerSuspicions.Suspicion> ownSuspicions() {
		if (isCutOff()) {
			return List.of();
		}
		return Stream
			.concat(this.suspicions.entries(this.clock.monotonicMs()).stream(), this.denialsToTell.get().stream())
			.toList();
	}

	/**
	 * Sets the denials that are told to the other hosts as suspicions.
	 * @param denials supplies the suspicions
	 */
	void tellDenials(Supplier<List<ServerSuspicions.Suspicion>> denials) {
		this.denialsToTell = denials;
	}

	/**
	 * Returns whether this host or another one suspects a server.
	 * @param fromZone availability zone from which the server would be called
	 * @param server identifier of the server
	 * @param serverZone availability zone of the server
	 * @return {@code true} if the server should not be used
	 */
	public boolean isSuspect(String fromZone, String server, String serverZone) {
		return this.suspicions.isSuspect(fromZone, server, serverZone, this.clock.monotonicMs());
	}

	/**
	 * Returns the active configuration.
	 * @return the configuration, {@code null} before the first one
	 */
	public RoutingTable table() {
		return this.table;
	}

	/**
	 * Returns the registered servers.
	 * @return the servers
	 */
	public FleetView fleet() {
		return this.fleet;
	}

	/**
	 * Lets the readiness probe fail while a condition holds.
	 * @param condition returns whether the host is being warmed up
	 */
	public void notReadyWhile(BooleanSupplier condition) {
		this.warming = condition;
	}

	/**
	 * Returns whether the host is being warmed up.
	 * @return {@code true} while the readiness probe should fail
	 */
	public boolean isWarming() {
		return this.warming.getAsBoolean();
	}

	/**
	 * Marks the host as draining.
	 */
	public void drain() {
		this.drainingSinceMs = this.clock.monotonicMs();
	}

	/**
	 * Returns whether the host is draining.
	 * @return {@code true} after {@link #drain}
	 */
	public boolean isDraining() {
		return this.drainingSinceMs != Long.MAX_VALUE;
	}

	/**
	 * Returns how long the host has been draining.
	 * @return the time in milliseconds, 0 if it is not
	 */
	public long drainingForMs() {
		return Math.max(0, this.clock.monotonicMs() - this.drainingSinceMs);
	}

	/**
	 * Returns the clocks.
	 * @return the clocks
	 */
	public GatewayClock clock() {
		return this.clock;
	}

	private record Confirmation(long monotonicMs, long wallMs) {
	}

}
