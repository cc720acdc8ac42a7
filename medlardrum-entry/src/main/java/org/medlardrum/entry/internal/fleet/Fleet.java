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
 * Background thread {@code fleet}, which owns the state of the backend servers as this
 * host has recorded it: load reports, this host's requests in progress, circuit breakers,
 * slow start and measured latencies. Other threads send events through a bounded queue
 * and read an immutable view.
 */
public final class Fleet implements AutoCloseable {

	private static final int EVENT_QUEUE_SIZE = 16_384;

	/**
	 * Building a view takes time proportional to the number of servers, so requests share
	 * one view.
	 */
	private static final long MIN_VIEW_INTERVAL_MS = 2;

	/** Circuit breakers and slow start change without an event, as time passes. */
	private static final long MAX_VIEW_INTERVAL_MS = 250;

	private static final int MAX_CONCURRENT_POLLS = 32;

	private static final long FAILED_POLL_RETRY_MS = 500;

	private static final int MAX_POLLS_AFTER_FAILURE = 64;

	private final Membership membership;

	private final EngineClient client;

	private final InstantSource clock;

	private final FleetOptions options;

	private final Predicate<String> isSuspect;

	private final MpscArrayQueue<Runnable> eventQueue = new MpscArrayQueue<>(EVENT_QUEUE_SIZE);

	private final Map<String, ServerState> servers = new HashMap<>();

	private final LinkLatencies links = new LinkLatencies();

	private final AtomicLong attemptCounter = new AtomicLong();

	private final Semaphore pollPermits = new Semaphore(MAX_CONCURRENT_POLLS);

	private final BackgroundThread thread = new BackgroundThread("fleet", this::step);

	private SlowStart slowStart = new SlowStart(0);

	private HostDirectory directory = HostDirectory.EMPTY;

	private boolean viewOutdated = true;

	private long viewBuiltAtMs;

	private volatile FleetView view = FleetView.EMPTY;

	/**
	 * Creates a fleet. {@link #start} starts the thread.
	 * @param membership the host list
	 * @param client client of the engines
	 * @param clock the clock
	 * @param options options of the thread
	 * @param isSuspect returns whether a fingerprint is a crash suspect
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
	 * Returns the latest view of the backend servers.
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
		enqueue(() -> {
			this.slowStart = new SlowStart(configuration.limits().slowStartMs());
			this.links.configure(configuration.links());
		});
	}

	/**
	 * Records the start of an attempt.
	 * @param serverIds ids of the servers that run it
	 * @param fingerprint fingerprint of the request
	 * @return identifier of the attempt for {@link #attemptEnded}
	 */
	public long attemptStarted(List<String> serverIds, String fingerprint) {
		long attempt = this.attemptCounter.incrementAndGet();
		enqueue(() -> {
			long nowMs = this.clock.millis();
			for (String id : serverIds) {
				ServerState state = this.servers.get(id);
				if (state != null) {
					state.attemptStarted(attempt, fingerprint, nowMs);
				}
			}
		});
		return attempt;
	}

	/**
	 * Records the end of an attempt.
	 * @param serverIds ids of the servers that ran it
	 * @param attempt identifier of the attempt, from {@link #attemptStarted}
	 */
	public void attemptEnded(List<String> serverIds, long attempt) {
		enqueue(() -> {
			for (String id : serverIds) {
				ServerState state = this.servers.get(id);
				if (state != null) {
					state.attemptEnded(attempt);
				}
			}
		});
	}

	/**
	 * Records whether a server completed its stage of an attempt or its call. A failure
	 * counts in the circuit breaker and brings the next poll forward.
	 * @param serverId id of the server
	 * @param success {@code false} if the server failed
	 */
	public void recordResult(String serverId, boolean success) {
		enqueue(() -> {
			ServerState state = this.servers.get(serverId);
			if (state != null) {
				state.circuit().onResult(success, this.clock.millis());
				if (!success) {
					state.schedulePollBy(this.clock.millis() + FAILED_POLL_RETRY_MS);
				}
			}
		});
	}

	/**
	 * Records that an engine refuses connections. It receives no requests until a poll of
	 * it succeeds. Engines often fail together, so other engines of this availability
	 * zone are polled at once.
	 * @param serverId id of the engine
	 */
	public void recordUnreachable(String serverId) {
		enqueue(() -> {
			long nowMs = this.clock.millis();
			markUnreachable(serverId, nowMs);
			int remainingPolls = MAX_POLLS_AFTER_FAILURE;
			for (ServerState state : this.servers.values()) {
				boolean sameZone = state.server().availabilityZone().equals(this.options.availabilityZone());
				if (sameZone && state.report() != null && remainingPolls-- > 0) {
					state.schedulePollBy(nowMs);
				}
			}
		});
	}

	private void markUnreachable(String serverId, long nowMs) {
		ServerState state = this.servers.get(serverId);
		if (state != null && state.report() != null) {
			Logger.info("chain: engine {} refuses connections and is not used until a poll succeeds", serverId);
			state.markUnreachable(nowMs);
		}
	}

	/**
	 * Records the load report of a server.
	 * @param report the report, ignored if {@code null} or without a server
	 */
	public void recordReport(EngineReport report) {
		if (report == null || report.server() == null) {
			return;
		}
		this.membership.recordReportedLeaving(report.server(), report.leaving());
		enqueue(() -> {
			ServerState state = this.servers.get(report.server());
			if (state != null) {
				state.updateReport(report, this.clock.millis());
			}
		});
	}

	/**
	 * Records the measured stage times of a completed attempt.
	 * @param chain the chain that ran the attempt
	 * @param stageTimesUs mean time per token of each stage, including its link
	 */
	public void recordStageTimes(Chain chain, List<Long> stageTimesUs) {
		if (stageTimesUs == null || stageTimesUs.size() != chain.stages().size()) {
			return;
		}
		enqueue(() -> StageTimes.recordMeasurements(chain, stageTimesUs, this.options.availabilityZone(), this.servers,
				this.links, this.clock.millis()));
	}

	// Waits while the queue is full: a lost event would leave a request counted as in
	// progress forever.
	private void enqueue(Runnable event) {
		this.thread.enqueue(this.eventQueue, event);
	}

	/**
	 * Processes queued events, polls servers that are due and updates the view. Called by
	 * the thread, or directly by a test.
	 * @return time until the next step, in milliseconds
	 */
	long step() {
		int events = this.eventQueue.drain(Runnable::run);
		long nowMs = this.clock.millis();
		HostDirectory newest = this.membership.directory();
		if (newest.revision() != this.directory.revision()) {
			applyDirectory(newest, nowMs);
		}
		pollDueServers(nowMs);
		this.viewOutdated |= events > 0;
		long viewAgeMs = nowMs - this.viewBuiltAtMs;
		if ((this.viewOutdated && viewAgeMs >= MIN_VIEW_INTERVAL_MS) || viewAgeMs >= MAX_VIEW_INTERVAL_MS) {
			this.view = buildView(nowMs);
			this.viewBuiltAtMs = nowMs;
			this.viewOutdated = false;
		}
		return (this.viewOutdated) ? MIN_VIEW_INTERVAL_MS : MAX_VIEW_INTERVAL_MS / 2;
	}

	private void applyDirectory(HostDirectory newest, long nowMs) {
		boolean firstDirectory = this.servers.isEmpty();
		Set<String> listedIds = new HashSet<>();
		Set<String> addresses = new HashSet<>();
		for (BackendServer server : newest.backendServers()) {
			listedIds.add(server.id());
			addresses.add(server.address());
			ServerState state = this.servers.get(server.id());
			if (state == null || !state.server().address().equals(server.address())) {
				this.servers.put(server.id(), new ServerState(server, (firstDirectory) ? 0 : nowMs));
			}
			else {
				state.server(server);
			}
		}
		this.servers.keySet().retainAll(listedIds);
		this.client.retain(addresses);
		this.directory = newest;
		this.viewOutdated = true;
	}

	private void pollDueServers(long nowMs) {
		Set<String> hosts = null;
		for (ServerState state : this.servers.values()) {
			if (state.isPollDue(nowMs) && this.pollPermits.tryAcquire()) {
				hosts = (hosts != null) ? hosts : hostsOfZone();
				state.pollStarted();
				String address = state.server().address();
				String id = state.server().id();
				long intervalMs = PollSchedule.intervalMs(isOwnServer(state, hosts), this.servers.size(),
						this.options.pollIntervalMs());
				Thread.ofVirtual().name("poll").start(() -> pollServer(id, address, intervalMs));
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

	private boolean isOwnServer(ServerState state, Set<String> hosts) {
		return state.server().availabilityZone().equals(this.options.availabilityZone())
				&& Rendezvous.owner(state.server().id(), hosts)
					.map((owner) -> owner.equals(this.options.hostId()))
					.orElse(true);
	}

	private void pollServer(String id, String address, long intervalMs) {
		Outcome<EngineReport> outcome = this.client.fetchReport(address, this.options.pollTimeoutMs());
		this.pollPermits.release();
		if (outcome instanceof Outcome.Completed<EngineReport> completed && id.equals(completed.value().server())) {
			recordReport(completed.value());
			enqueue(() -> pollEnded(id, this.clock.millis() + intervalMs));
			return;
		}
		Logger.debug("http: poll of the load of {} failed: {}", id, outcome);
		enqueue(() -> {
			long nowMs = this.clock.millis();
			pollEnded(id, nowMs + Math.min(intervalMs, this.options.pollIntervalMs()));
			if (outcome instanceof Outcome.NotRun<EngineReport>) {
				markUnreachable(id, nowMs);
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
				this.links.states(nowMs), LinkLatencies.DEFAULT_LATENCY_US)));
		return new FleetView(Map.copyOf(snapshots), Map.copyOf(services));
	}

}
