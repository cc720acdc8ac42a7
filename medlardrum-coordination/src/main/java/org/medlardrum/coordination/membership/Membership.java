package org.medlardrum.coordination.membership;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.internal.BackgroundThread;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostDirectory;
import org.medlardrum.state.HostState;
import org.tinylog.Logger;

/**
 * Hosts and backend servers as listed by the platform, corrected by newer facts: digests
 * heard, refused connections, rumours of leaving hosts and the servers' own leaving flag.
 * The last list stays in use while the store is down, and a list with an older revision
 * is ignored.
 *
 * <pre>{@code
 * Membership membership = new Membership(store, "entry-1", InstantSource.system(), MembershipOptions.DEFAULT);
 * membership.start();
 * List<Host> peers = membership.livePeers();
 * }</pre>
 *
 * All methods but {@link #step()} may be called from any thread.
 */
public final class Membership implements AutoCloseable {

	/** Hosts heard from that are kept, against forged names. */
	private static final int MAX_HEARD = 2_000;

	private final PlatformStore store;

	private final String ownHostId;

	private final InstantSource clock;

	private final MembershipOptions options;

	private final Supplier<Optional<HostDirectory>> seeds;

	private final BackgroundThread thread;

	private final Map<String, Long> heardAtMs = new ConcurrentHashMap<>();

	private final Map<String, Long> refusedAtMs = new ConcurrentHashMap<>();

	private final Map<String, Long> leavingUntilMs = new ConcurrentHashMap<>();

	private final Set<String> leavingByReport = ConcurrentHashMap.newKeySet();

	private volatile HostDirectory listed = HostDirectory.EMPTY;

	private volatile boolean storeReachable;

	public Membership(PlatformStore store, String ownHostId, InstantSource clock, MembershipOptions options) {
		this(store, ownHostId, clock, options, Optional::empty);
	}

	/**
	 * Creates a membership that can start without the platform.
	 * @param store the store
	 * @param ownHostId name of the own host
	 * @param clock the clock
	 * @param options settings
	 * @param seeds asks other hosts for their list; called only while no list is known
	 */
	public Membership(PlatformStore store, String ownHostId, InstantSource clock, MembershipOptions options,
			Supplier<Optional<HostDirectory>> seeds) {
		this.seeds = Objects.requireNonNull(seeds, "seeds");
		this.store = Objects.requireNonNull(store, "store");
		this.ownHostId = Objects.requireNonNull(ownHostId, "ownHostId");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.options = Objects.requireNonNull(options, "options");
		this.thread = new BackgroundThread("membership", this::step);
	}

	/**
	 * Starts the thread that follows the host list.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * Reads the host list once, waiting for a change. Called by the thread of this
	 * responsibility, or by a test instead of it.
	 * @return pause before the next call, in milliseconds
	 */
	public long step() {
		removeExpired();
		StoreResult<HostDirectory> result = this.store.hosts(this.listed.revision(), this.options.waitMs());
		return switch (result) {
			case StoreResult.Ok<HostDirectory> ok -> {
				reachable(true, "");
				accept(ok.value());
				yield 0;
			}
			case StoreResult.NotFound<HostDirectory> none -> {
				reachable(true, "");
				yield 0;
			}
			case StoreResult.Conflict<HostDirectory> conflict -> failed("unexpected conflict");
			case StoreResult.Unavailable<HostDirectory> unavailable -> failed(unavailable.reason());
			case StoreResult.Unknown<HostDirectory> unknown -> failed(unknown.reason());
		};
	}

	private long failed(String reason) {
		reachable(false, reason);
		if (this.listed.revision() == 0) {
			this.seeds.get().ifPresent(this::accept);
		}
		return this.options.retryMs();
	}

	private void reachable(boolean reachable, String reason) {
		if (reachable != this.storeReachable) {
			this.storeReachable = reachable;
			if (reachable) {
				Logger.info("membership: host list is readable");
			}
			else {
				Logger.warn("membership: host list is not readable, keeping revision {}: {}", this.listed.revision(),
						reason);
			}
		}
	}

	private void accept(HostDirectory directory) {
		if (directory.revision() <= this.listed.revision()) {
			return;
		}
		this.listed = directory;
		this.leavingByReport.retainAll(directory.backendServers().stream().map(BackendServer::id).toList());
	}

	private void removeExpired() {
		long nowMs = this.clock.millis();
		this.heardAtMs.values().removeIf((atMs) -> nowMs - atMs > this.options.heardForMs());
		this.refusedAtMs.values().removeIf((atMs) -> nowMs - atMs > this.options.deadForMs());
		this.leavingUntilMs.values().removeIf((untilMs) -> untilMs <= nowMs);
	}

	/**
	 * Returns the hosts and backend servers, with those known to be leaving marked so.
	 * @return the directory, empty before the first list was read
	 */
	public HostDirectory directory() {
		HostDirectory directory = this.listed;
		if (this.leavingUntilMs.isEmpty() && this.leavingByReport.isEmpty()) {
			return directory;
		}
		List<Host> hosts = new ArrayList<>(directory.entryHosts().size());
		for (Host host : directory.entryHosts()) {
			hosts.add((isMarkedLeaving(host.id())) ? leaving(host) : host);
		}
		List<BackendServer> servers = new ArrayList<>(directory.backendServers().size());
		for (BackendServer server : directory.backendServers()) {
			servers.add((isMarkedLeaving(server.id())) ? leaving(server) : server);
		}
		return new HostDirectory(directory.revision(), hosts, servers);
	}

	private static Host leaving(Host host) {
		return new Host(host.id(), host.availabilityZone(), host.callerAddress(), host.peerAddress(),
				host.adminAddress(), HostState.LEAVING);
	}

	private static BackendServer leaving(BackendServer server) {
		return new BackendServer(server.id(), server.availabilityZone(), server.address(), server.pool(), server.kind(),
				server.accelerator(), HostState.LEAVING);
	}

	/**
	 * Returns the other entry hosts that are taken to be alive: heard from lately, or
	 * listed as live and not known to be dead.
	 * @return the peers, without the own host
	 */
	public List<Host> livePeers() {
		long nowMs = this.clock.millis();
		return this.listed.entryHosts()
			.stream()
			.filter((host) -> !host.id().equals(this.ownHostId) && isLive(host, nowMs))
			.toList();
	}

	/**
	 * Tells whether an entry host is taken to be alive. A host that was heard from need
	 * not be listed, because the list lags behind joining hosts.
	 * @param hostId the host
	 * @return whether it is the own host or a live peer
	 */
	public boolean isLive(String hostId) {
		long nowMs = this.clock.millis();
		return hostId.equals(this.ownHostId) || wasHeard(hostId, nowMs)
				|| findHost(hostId).filter((host) -> isLive(host, nowMs)).isPresent();
	}

	private boolean isLive(Host host, long nowMs) {
		return wasHeard(host.id(), nowMs) || (host.state() == HostState.LIVE && !hasRefused(host.id(), nowMs));
	}

	private boolean wasHeard(String hostId, long nowMs) {
		Long heard = this.heardAtMs.get(hostId);
		Long refused = this.refusedAtMs.get(hostId);
		return heard != null && nowMs - heard <= this.options.heardForMs() && (refused == null || heard > refused);
	}

	private boolean hasRefused(String hostId, long nowMs) {
		Long refused = this.refusedAtMs.get(hostId);
		return refused != null && nowMs - refused <= this.options.deadForMs();
	}

	/**
	 * Returns a listed entry host.
	 * @param hostId the host
	 * @return the host, empty when it is not listed
	 */
	public Optional<Host> findHost(String hostId) {
		return this.listed.entryHosts().stream().filter((host) -> host.id().equals(hostId)).findFirst();
	}

	/**
	 * Tells whether a backend server or an entry host is about to stop, by the list, by a
	 * rumour or by its own report.
	 * @param serverOrHostId the server or host
	 * @return whether it is leaving
	 */
	public boolean isLeaving(String serverOrHostId) {
		if (isMarkedLeaving(serverOrHostId)) {
			return true;
		}
		HostDirectory directory = this.listed;
		return directory.entryHosts()
			.stream()
			.anyMatch((host) -> host.state() == HostState.LEAVING && host.id().equals(serverOrHostId))
				|| directory.backendServers()
					.stream()
					.anyMatch((server) -> server.state() == HostState.LEAVING && server.id().equals(serverOrHostId));
	}

	private boolean isMarkedLeaving(String id) {
		Long untilMs = this.leavingUntilMs.get(id);
		return (untilMs != null && untilMs > this.clock.millis()) || this.leavingByReport.contains(id);
	}

	/**
	 * Records that a peer was heard from.
	 * @param hostId the peer
	 */
	public void recordContact(String hostId) {
		if (this.heardAtMs.containsKey(hostId) || this.heardAtMs.size() < MAX_HEARD) {
			this.heardAtMs.put(hostId, this.clock.millis());
		}
	}

	/**
	 * Records that a peer refused a connection.
	 * @param hostId the peer
	 */
	public void recordUnreachable(String hostId) {
		this.refusedAtMs.put(hostId, this.clock.millis());
	}

	/**
	 * Records a rumour that a host or server is leaving.
	 * @param id the host or server
	 * @param untilMs expiry of the rumour, in milliseconds since the epoch; a time that
	 * has passed withdraws it
	 */
	public void recordLeavingRumour(String id, long untilMs) {
		if (untilMs <= this.clock.millis()) {
			this.leavingUntilMs.remove(id);
		}
		else {
			this.leavingUntilMs.put(id, untilMs);
		}
	}

	/**
	 * Records the leaving flag of a backend server's own report.
	 * @param serverId the server
	 * @param leaving whether it refuses new work
	 */
	public void recordReportedLeaving(String serverId, boolean leaving) {
		if (leaving) {
			this.leavingByReport.add(serverId);
		}
		else {
			this.leavingByReport.remove(serverId);
		}
	}

}
