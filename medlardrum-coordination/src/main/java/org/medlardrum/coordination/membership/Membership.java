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
 * Hosts and backend servers: the platform's host list, corrected by newer information.
 * That is received digests, refused connections, rumours of leaving hosts and the leaving
 * flag in the servers' reports. The last list stays in use while the store is
 * unavailable, and a list with an older revision is ignored.
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

	/** Maximum number of recorded contacts, a bound against forged host ids. */
	private static final int MAX_CONTACTS = 2_000;

	private final PlatformStore store;

	private final String ownHostId;

	private final InstantSource clock;

	private final MembershipOptions options;

	private final Supplier<Optional<HostDirectory>> seedDirectory;

	private final BackgroundThread thread;

	private final Map<String, Long> lastContactAtMs = new ConcurrentHashMap<>();

	private final Map<String, Long> refusedAtMs = new ConcurrentHashMap<>();

	private final Map<String, Long> leavingUntilMs = new ConcurrentHashMap<>();

	private final Set<String> reportedLeaving = ConcurrentHashMap.newKeySet();

	private volatile HostDirectory listed = HostDirectory.EMPTY;

	private volatile boolean storeReachable;

	public Membership(PlatformStore store, String ownHostId, InstantSource clock, MembershipOptions options) {
		this(store, ownHostId, clock, options, Optional::empty);
	}

	/**
	 * Creates a membership that can start while the platform is unavailable.
	 * @param store the store
	 * @param ownHostId identifier of the own host
	 * @param clock the clock
	 * @param options settings
	 * @param seedDirectory requests the host list from other hosts; called after a failed
	 * read, and only until a first list was accepted
	 */
	public Membership(PlatformStore store, String ownHostId, InstantSource clock, MembershipOptions options,
			Supplier<Optional<HostDirectory>> seedDirectory) {
		this.seedDirectory = Objects.requireNonNull(seedDirectory, "seeds");
		this.store = Objects.requireNonNull(store, "store");
		this.ownHostId = Objects.requireNonNull(ownHostId, "ownHostId");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.options = Objects.requireNonNull(options, "options");
		this.thread = new BackgroundThread("membership", this::step);
	}

	/**
	 * Starts the background thread that keeps the host list up to date.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * Reads the host list once, waiting for a change. Called by the background thread, or
	 * by a test that does not start it.
	 * @return delay until the next call, in milliseconds
	 */
	public long step() {
		removeExpired();
		StoreResult<HostDirectory> result = this.store.hosts(this.listed.revision(), this.options.waitMs());
		return switch (result) {
			case StoreResult.Ok<HostDirectory> ok -> {
				setStoreReachable(true, "");
				acceptIfNewer(ok.value());
				yield 0;
			}
			case StoreResult.NotFound<HostDirectory> none -> {
				setStoreReachable(true, "");
				yield 0;
			}
			case StoreResult.Conflict<HostDirectory> conflict -> handleReadFailure("unexpected conflict");
			case StoreResult.Unavailable<HostDirectory> unavailable -> handleReadFailure(unavailable.reason());
			case StoreResult.Unknown<HostDirectory> unknown -> handleReadFailure(unknown.reason());
		};
	}

	private long handleReadFailure(String reason) {
		setStoreReachable(false, reason);
		if (this.listed.revision() == 0) {
			this.seedDirectory.get().ifPresent(this::acceptIfNewer);
		}
		return this.options.retryMs();
	}

	private void setStoreReachable(boolean reachable, String reason) {
		if (reachable != this.storeReachable) {
			this.storeReachable = reachable;
			if (reachable) {
				Logger.info("membership: host list is readable");
			}
			else {
				Logger.warn("membership: host list is not readable, revision {} stays in use: {}",
						this.listed.revision(), reason);
			}
		}
	}

	private void acceptIfNewer(HostDirectory directory) {
		if (directory.revision() <= this.listed.revision()) {
			return;
		}
		this.listed = directory;
		this.reportedLeaving.retainAll(directory.backendServers().stream().map(BackendServer::id).toList());
	}

	private void removeExpired() {
		long nowMs = this.clock.millis();
		this.lastContactAtMs.values().removeIf((atMs) -> nowMs - atMs > this.options.livenessTimeoutMs());
		this.refusedAtMs.values().removeIf((atMs) -> nowMs - atMs > this.options.unreachableForMs());
		this.leavingUntilMs.values().removeIf((untilMs) -> untilMs <= nowMs);
	}

	/**
	 * Returns the host list, with the state {@code LEAVING} for hosts and backend servers
	 * that a rumour or a report says are leaving.
	 * @return the directory, empty before the first list was read
	 */
	public HostDirectory directory() {
		HostDirectory directory = this.listed;
		if (this.leavingUntilMs.isEmpty() && this.reportedLeaving.isEmpty()) {
			return directory;
		}
		List<Host> hosts = new ArrayList<>(directory.entryHosts().size());
		for (Host host : directory.entryHosts()) {
			hosts.add((isMarkedLeaving(host.id())) ? withLeavingState(host) : host);
		}
		List<BackendServer> servers = new ArrayList<>(directory.backendServers().size());
		for (BackendServer server : directory.backendServers()) {
			servers.add((isMarkedLeaving(server.id())) ? withLeavingState(server) : server);
		}
		return new HostDirectory(directory.revision(), hosts, servers);
	}

	private static Host withLeavingState(Host host) {
		return new Host(host.id(), host.availabilityZone(), host.callerAddress(), host.peerAddress(),
				host.adminAddress(), HostState.LEAVING);
	}

	private static BackendServer withLeavingState(BackendServer server) {
		return new BackendServer(server.id(), server.availabilityZone(), server.address(), server.pool(), server.kind(),
				server.accelerator(), HostState.LEAVING);
	}

	/**
	 * Returns the other listed entry hosts that count as alive: those with a recent
	 * contact, and those that are listed as live and have not refused a connection
	 * recently.
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
	 * Returns whether an entry host counts as alive. A host with a recent contact need
	 * not be listed, because the list lags behind joining hosts.
	 * @param hostId the host
	 * @return whether it is the own host or a live peer
	 */
	public boolean isLive(String hostId) {
		long nowMs = this.clock.millis();
		return hostId.equals(this.ownHostId) || hasRecentContact(hostId, nowMs)
				|| findHost(hostId).filter((host) -> isLive(host, nowMs)).isPresent();
	}

	private boolean isLive(Host host, long nowMs) {
		return hasRecentContact(host.id(), nowMs)
				|| (host.state() == HostState.LIVE && !hasRecentRefusal(host.id(), nowMs));
	}

	private boolean hasRecentContact(String hostId, long nowMs) {
		Long contactAtMs = this.lastContactAtMs.get(hostId);
		Long refusalAtMs = this.refusedAtMs.get(hostId);
		return contactAtMs != null && nowMs - contactAtMs <= this.options.livenessTimeoutMs()
				&& (refusalAtMs == null || contactAtMs > refusalAtMs);
	}

	private boolean hasRecentRefusal(String hostId, long nowMs) {
		Long refusalAtMs = this.refusedAtMs.get(hostId);
		return refusalAtMs != null && nowMs - refusalAtMs <= this.options.unreachableForMs();
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
	 * Returns whether a backend server or an entry host is leaving according to the host
	 * list, a rumour or its own report.
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
		return (untilMs != null && untilMs > this.clock.millis()) || this.reportedLeaving.contains(id);
	}

	/**
	 * Records that a message from a peer was received. A contact that is newer than the
	 * last refused connection makes the peer live again.
	 * @param hostId the peer
	 */
	public void recordContact(String hostId) {
		if (this.lastContactAtMs.containsKey(hostId) || this.lastContactAtMs.size() < MAX_CONTACTS) {
			this.lastContactAtMs.put(hostId, this.clock.millis());
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
	 * Records a rumour that an entry host or backend server is leaving.
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
	 * Records the leaving flag in a report of a backend server.
	 * @param serverId the server
	 * @param leaving whether it refuses new requests
	 */
	public void recordReportedLeaving(String serverId, boolean leaving) {
		if (leaving) {
			this.reportedLeaving.add(serverId);
		}
		else {
			this.reportedLeaving.remove(serverId);
		}
	}

}
