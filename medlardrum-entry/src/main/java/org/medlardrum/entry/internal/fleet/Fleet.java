package org.medlardrum.entry.internal.fleet;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

import org.jctools.queues.MpscArrayQueue;
import org.medlardrum.coordination.internal.BackgroundThread;
import org.medlardrum.coordination.internal.Rendezvous;
import org.medlardrum.coordination.membership.Membership;
import org.medlardrum.decisions.SlowStart;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.BackendServerKind;
import org.medlardrum.state.Chain;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.EngineState;
import org.medlardrum.state.FleetSnapshot;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostDirectory;
import org.medlardrum.state.HostState;
import org.medlardrum.state.Outcome;
import org.medlardrum.state.config.Configuration;
import org.medlardrum.transport.EngineClient;
import org.tinylog.Logger;

/**
 * The thread {@code fleet}, which owns what this host knows about the backend servers:
 * reports, own requests in progress, circuits, slow start and measured times. Other
 * threads tell it events through a bounded ring and read an immutable view.
 */
public final class Fleet implements AutoCloseable {

	private static final int RING_SIZE = 16_384;

	/** Building a view costs time in proportion to the fleet; requests share one. */
	private static final long MIN_VIEW_INTERVAL_MS = 2;

	/** Circuits and slow start change without an event. */
	private static final long MAX_VIEW_INTERVAL_MS = 250;

	private static final int MAX_CONCURRENT_POLLS = 32;

	private static final long FAILED_POLL_RETRY_MS = 500;

	private static final int MAX_POLLS_AFTER_FAILURE = 64;

	private final Membership membership;

	private final EngineClient client;

	private final InstantSource clock;

	private final FleetOptions options;

	private final Predicate<String> isSuspect;

	private final MpscArrayQueue<Runnable> ring = new MpscArrayQueue<>(RING_SIZE);

	private final Map<String, ServerState> servers = new HashMap<>();

	private final LinkTimes links = new LinkTimes();

	private final AtomicLong attempts = new AtomicLong();

	private final Semaphore polls = new Semaphore(MAX_CONCURRENT_POLLS);

	private final BackgroundThread thread = new BackgroundThread("fleet", this::step);

	private SlowStart slowStart = new SlowStart(0);

	private HostDirectory directory = HostDirectory.EMPTY;

	private boolean changed = true;

	private long viewedAtMs;

	private volatile FleetView view = FleetView.EMPTY;

	/**
	 * Creates the owner. {@link #start} starts the thread.
	 * @param membership the host list
	 * @param client client of the engines
	 * @param clock the clock
	 * @param options settings
	 * @param isSuspect tells whether a fingerprint is a crash suspect
	 */
	public Fleet(Membership membership, EngineClient client, InstantSource clock, FleetOptions options,
			Predicate<String> isSuspect) {
		this.membership = membership;
		this.client = client;
		this.clock = clock;
		this.options = options;
		this.isSuspect = isSuspect;
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * Returns the newest view.
	 * @return the view
	 */
	public FleetView view() {
		return this.view;
	}

	/**
	 * Sets the configuration in force.
	 * @param configuration the configuration
	 */
	public void configure(Configuration configuration) {
		tell(() -> {
			this.slowStart = new SlowStart(configuration.limits().slowStartMs());
			this.links.configure(configuration.links());
		});
	}

	/**
	 * Records the start of an attempt.
	 * @param serverIds servers that run it
	 * @param fingerprint fingerprint of the request
	 * @return number of the attempt for {@link #attemptEnded}
	 */
	public long attemptStarted(List<String> serverIds, String fingerprint) {
		long attempt = this.attempts.incrementAndGet();
		tell(() -> {
			long nowMs = this.clock.millis();
			for (String id : serverIds) {
				ServerState state = this.servers.get(id);
				if (state != null) {
					state.started(attempt, fingerprint, nowMs);
				}
			}
		});
		return attempt;
	}

	/**
	 * Records the end of an attempt.
	 * @param serverIds servers that ran it
	 * @param attempt number of the attempt
	 */
	public void attemptEnded(List<String> serverIds, long attempt) {
		tell(() -> {
			for (String id : serverIds) {
				ServerState state = this.servers.get(id);
				if (state != null) {
					state.ended(attempt);
				}
			}
		});
	}

	/**
	 * Records whether a server did its part of an attempt.
	 * @param serverId the server
	 * @param ok {@code false} for a fault of the server
	 */
	public void recordResult(String serverId, boolean ok) {
		tell(() -> {
			ServerState state = this.servers.get(serverId);
			if (state != null) {
				state.circuit().onResult(ok, this.clock.millis());
				if (!ok) {
					state.pollSoon(this.clock.millis() + FAILED_POLL_RETRY_MS);
				}
			}
		});
	}

	/**
	 * Records that an engine refuses connections. It gets no work until it answers a
	 * poll. Engines often fail together, so others of this zone are polled at once.
	 * @param serverId the engine
	 */
	public void recordUnreachable(String serverId) {
		tell(() -> {
			long nowMs = this.clock.millis();
			down(serverId, nowMs);
			int left = MAX_POLLS_AFTER_FAILURE;
			for (ServerState state : this.servers.values()) {
				boolean near = state.server().availabilityZone().equals(this.options.availabilityZone());
				if (near && state.report() != null && left-- > 0) {
					state.pollSoon(nowMs);
				}
			}
		});
	}

	private void down(String serverId, long nowMs) {
		ServerState state = this.servers.get(serverId);
		if (state != null && state.report() != null) {
			Logger.info("chain: engine {} refuses connections", serverId);
			state.unreachable(nowMs);
		}
	}

	/**
	 * Takes the report of a server.
	 * @param report the report
	 */
	public void recordReport(EngineReport report) {
		if (report == null || report.server() == null) {
			return;
		}
		this.membership.recordReportedLeaving(report.server(), report.leaving());
		tell(() -> {
			ServerState state = this.servers.get(report.server());
			if (state != null) {
				state.reported(report, this.clock.millis());
			}
		});
	}

	/**
	 * Takes the measured stage times of a completed attempt.
	 * @param chain the chain
	 * @param stageTimesUs mean time for one token of each stage, link included
	 */
	public void recordStageTimes(Chain chain, List<Long> stageTimesUs) {
		if (stageTimesUs == null || stageTimesUs.size() != chain.stages().size()) {
			return;
		}
		tell(() -> StageTimes.apply(chain, stageTimesUs, this.options.availabilityZone(), this.servers, this.links,
				this.clock.millis()));
	}

	// Events must not be lost, or requests in progress would be counted for ever.
	private void tell(Runnable message) {
		this.thread.enqueue(this.ring, message);
	}

	/**
	 * Handles waiting messages. Called by the thread, or by a test instead of it.
	 * @return time until the next step, in milliseconds
	 */
	long step() {
		int messages = this.ring.drain(Runnable::run);
		long nowMs = this.clock.millis();
		HostDirectory newest = this.membership.directory();
		if (newest.revision() != this.directory.revision()) {
			accept(newest, nowMs);
		}
		poll(nowMs);
		this.changed |= messages > 0;
		long sinceViewMs = nowMs - this.viewedAtMs;
		if ((this.changed && sinceViewMs >= MIN_VIEW_INTERVAL_MS) || sinceViewMs >= MAX_VIEW_INTERVAL_MS) {
			this.view = buildView(nowMs);
			this.viewedAtMs = nowMs;
			this.changed = false;
		}
		return (this.changed) ? MIN_VIEW_INTERVAL_MS : MAX_VIEW_INTERVAL_MS / 2;
	}

	private void accept(HostDirectory newest, long nowMs) {
		boolean first = this.servers.isEmpty();
		Set<String> listed = new HashSet<>();
		Set<String> addresses = new HashSet<>();
		for (BackendServer server : newest.backendServers()) {
			listed.add(server.id());
			addresses.add(server.address());
			ServerState state = this.servers.get(server.id());
			if (state == null || !state.server().address().equals(server.address())) {
				this.servers.put(server.id(), new ServerState(server, (first) ? 0 : nowMs));
			}
			else {
				state.server(server);
			}
		}
		this.servers.keySet().retainAll(listed);
		this.client.retain(addresses);
		this.directory = newest;
		this.changed = true;
	}

	private void poll(long nowMs) {
		Set<String> hosts = null;
		for (ServerState state : this.servers.values()) {
			if (state.isPollDue(nowMs) && this.polls.tryAcquire()) {
				hosts = (hosts != null) ? hosts : hostsOfZone();
				state.pollStarted();
				String address = state.server().address();
				String id = state.server().id();
				long againMs = PollSchedule.intervalMs(isOwnShare(state, hosts), this.servers.size(),
						this.options.pollIntervalMs());
				Thread.ofVirtual().name("poll").start(() -> poll(id, address, againMs));
			}
		}
	}

	private Set<String> hostsOfZone() {
		Set<String> hosts = new HashSet<>();
		hosts.add(this.options.hostId());
		for (Host peer : this.membership.livePeers()) {
			if (peer.availabilityZone().equals(this.options.availabilityZone())) {
				hosts.add(peer.id());
			}
		}
		return hosts;
	}

	private boolean isOwnShare(ServerState state, Set<String> hosts) {
		return state.server().availabilityZone().equals(this.options.availabilityZone())
				&& Rendezvous.owner(state.server().id(), hosts)
					.map((owner) -> owner.equals(this.options.hostId()))
					.orElse(true);
	}

	private void poll(String id, String address, long againMs) {
		Outcome<EngineReport> outcome = this.client.fetchReport(address, this.options.pollTimeoutMs());
		this.polls.release();
		if (outcome instanceof Outcome.Completed<EngineReport> completed && id.equals(completed.value().server())) {
			recordReport(completed.value());
			tell(() -> pollEnded(id, this.clock.millis() + againMs));
			return;
		}
		Logger.debug("http: load of {} not read: {}", id, outcome);
		tell(() -> {
			long nowMs = this.clock.millis();
			pollEnded(id, nowMs + Math.min(againMs, this.options.pollIntervalMs()));
			if (outcome instanceof Outcome.NotRun<EngineReport>) {
				down(id, nowMs);
			}
		});
	}

	private void pollEnded(String id, long nextAtMs) {
		ServerState state = this.servers.get(id);
		if (state != null) {
			state.pollEnded((state.report() != null) ? nextAtMs
					: Math.min(nextAtMs, this.clock.millis() + FAILED_POLL_RETRY_MS));
		}
	}

	private FleetView buildView(long nowMs) {
		Map<String, List<EngineState>> engines = new HashMap<>();
		Map<String, List<ServiceState>> services = new HashMap<>();
		Set<String> leavingIds = new HashSet<>();
		for (BackendServer server : this.membership.directory().backendServers()) {
			if (server.state() == HostState.LEAVING) {
				leavingIds.add(server.id());
			}
		}
		for (ServerState state : this.servers.values()) {
			BackendServer server = state.server();
			boolean leaving = leavingIds.contains(server.id());
			if (server.kind() == BackendServerKind.ENGINE) {
				engines.computeIfAbsent(server.pool(), (pool) -> new ArrayList<>())
					.add(state.engineState(this.slowStart, this.isSuspect, leaving, nowMs));
			}
			else {
				services.computeIfAbsent(server.pool(), (pool) -> new ArrayList<>())
					.add(state.serviceState(leaving, nowMs));
			}
		}
		Map<String, FleetSnapshot> snapshots = new HashMap<>();
		engines.forEach((pool, states) -> snapshots.put(pool, new FleetSnapshot(this.options.availabilityZone(), states,
				this.links.states(nowMs), LinkTimes.DEFAULT_LATENCY_US)));
		return new FleetView(Map.copyOf(snapshots), Map.copyOf(services));
	}

}
