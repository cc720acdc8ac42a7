package org.medlardrum.entry.internal.host;

import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;

import com.google.gson.Gson;
import org.medlardrum.coordination.claims.ClaimLedger;
import org.medlardrum.coordination.claims.ClaimOptions;
import org.medlardrum.coordination.config.ConfigAgent;
import org.medlardrum.coordination.config.ConfigAgentSettings;
import org.medlardrum.coordination.config.ConfigPullCodec;
import org.medlardrum.coordination.gossip.Gossip;
import org.medlardrum.coordination.gossip.GossipOptions;
import org.medlardrum.coordination.membership.Membership;
import org.medlardrum.coordination.membership.MembershipOptions;
import org.medlardrum.coordination.orders.OrderIssuer;
import org.medlardrum.coordination.orders.OrderOptions;
import org.medlardrum.decisions.AdmissionQueue;
import org.medlardrum.decisions.FirstComeFirstServedQueue;
import org.medlardrum.decisions.RoundRobinPlanner;
import org.medlardrum.decisions.WeightedRandomPlanner;
import org.medlardrum.entry.internal.admission.AdmissionController;
import org.medlardrum.entry.internal.fleet.CrashDetector;
import org.medlardrum.entry.internal.fleet.Fleet;
import org.medlardrum.entry.internal.fleet.FleetOptions;
import org.medlardrum.entry.internal.http.AdminHandler;
import org.medlardrum.entry.internal.http.CallerHandler;
import org.medlardrum.entry.internal.model.AttemptTimeouts;
import org.medlardrum.entry.internal.model.ModelDependencies;
import org.medlardrum.entry.internal.route.RouteTable;
import org.medlardrum.entry.internal.service.CallTimes;
import org.medlardrum.entry.internal.service.ServiceExecutor;
import org.medlardrum.entry.internal.settings.Policy;
import org.medlardrum.entry.internal.settings.Settings;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostDirectory;
import org.medlardrum.state.HostState;
import org.medlardrum.state.config.ConfigDocuments;
import org.medlardrum.state.config.ConfigParser;
import org.medlardrum.state.config.ConfigResult;
import org.medlardrum.state.config.LimitsConfig;
import org.medlardrum.state.config.PlacementConfig;
import org.medlardrum.transport.EngineClient;
import org.medlardrum.transport.HttpEngineOrders;
import org.medlardrum.transport.HttpPlatformStore;
import org.medlardrum.transport.ServiceClient;
import org.medlardrum.transport.internal.Addresses;
import org.medlardrum.transport.peer.PeerServer;
import org.medlardrum.transport.peer.ThriftPeerNetwork;
import org.medlardrum.transport.server.HttpListener;
import org.medlardrum.transport.server.ServerLimits;
import org.tinylog.Logger;

/**
 * An entry host with all its threads and listeners.
 */
public final class EntryHost implements AutoCloseable {

	private static final ServerLimits ADMIN_LIMITS = new ServerLimits(64, 8192, 60_000, 5_000, 10_000);

	private static final int MAX_SERVICE_RESPONSE_BYTES = 4 * 1024 * 1024;

	private static final long POLL_TIMEOUT_MS = 1000;

	private static final long CRASH_PROBE_TIMEOUT_MS = 300;

	private static final Gson GSON = new Gson();

	/** Limits how long a platform outage can delay a graceful shutdown. */
	private static final long MAX_OUTCOME_WAIT_MS = 5000;

	private static final long OUTCOME_CHECK_INTERVAL_MS = 20;

	private final Settings settings;

	private final HttpPlatformStore store;

	private final ThriftPeerNetwork peers;

	private final Membership membership;

	private final Gossip gossip;

	private final ConfigAgent config;

	private final ClaimLedger claims;

	private final EngineClient engineClient;

	private final ServiceClient serviceClient;

	private final Fleet fleet;

	private final OrderIssuer orders;

	private final AdmissionController admission;

	private final PoolTuner tuner;

	private final Retries retries;

	private final Lifecycle lifecycle;

	private final Metrics metrics = new Metrics();

	private final PeerServer peerServer;

	private final HttpListener callerListener;

	private final HttpListener adminListener;

	private final CountDownLatch stopped = new CountDownLatch(1);

	private volatile RouteTable routes;

	/**
	 * Creates and starts a host.
	 * @param settings the settings
	 * @throws Exception if the host cannot listen on an address of the settings
	 */
	public EntryHost(Settings settings) throws Exception {
		InstantSource clock = InstantSource.system();
		this.settings = settings;
		this.store = new HttpPlatformStore(settings.platformAddress(), settings.platformTimeoutMs());
		this.peers = new ThriftPeerNetwork(settings.peerOptions());
		this.membership = new Membership(this.store, settings.hostId(), clock, MembershipOptions.DEFAULT,
				() -> pullDirectoryFromSeeds(settings.seedPeers()));
		this.gossip = new Gossip(this.peers, this.membership, ownHost(settings), clock, new SplittableRandom(),
				GossipOptions.DEFAULT);
		this.config = new ConfigAgent(this.store, this.peers,
				ConfigAgentSettings.of(settings.hostId(), settings.availabilityZone()), this.membership::livePeers,
				clock, new SplittableRandom());
		this.claims = new ClaimLedger(this.store, this.peers, this.membership, settings.hostId(), clock,
				ClaimOptions.DEFAULT);
		this.engineClient = new EngineClient(settings.connectTimeoutMs());
		this.serviceClient = new ServiceClient(settings.connectTimeoutMs(), MAX_SERVICE_RESPONSE_BYTES);
		this.fleet = new Fleet(
				this.membership, this.engineClient, clock, new FleetOptions(settings.hostId(),
						settings.availabilityZone(), settings.pollIntervalMs(), POLL_TIMEOUT_MS),
				this.gossip::isSuspect);
		boolean fair = settings.policy() == Policy.FAIR;
		this.orders = new OrderIssuer(this.store, new HttpEngineOrders(this.engineClient), this.membership,
				settings.hostId(), () -> placements(this.routes), () -> loadsPerMinute(this.routes), clock,
				OrderOptions.DEFAULT);
		this.admission = new AdmissionController(clock, settings.admissionRingSize(),
				(fair) ? AdmissionQueue::new : FirstComeFirstServedQueue::new);
		CallTimes callTimes = new CallTimes();
		this.tuner = new PoolTuner(settings.hostId(), this.membership, this.gossip, this.fleet, this.admission,
				callTimes);
		this.retries = new Retries(clock, fair);
		this.lifecycle = new Lifecycle(settings.drainDelayMs(), settings.drainTimeoutMs(), this.gossip::setDraining);
		Traces traces = new Traces();
		CrashDetector crashDetector = new CrashDetector(this.engineClient, (server, bootId, fingerprints) -> {
			this.metrics.crash();
			this.gossip.recordCrash(server, bootId, fingerprints);
			this.fleet.recordUnreachable(server);
		}, CRASH_PROBE_TIMEOUT_MS);
		ModelDependencies services = new ModelDependencies(this.engineClient, this.fleet, crashDetector, this.gossip,
				this.retries, traces, this.metrics, clock,
				new AttemptTimeouts(settings.firstFrameTimeoutMs(), settings.stallTimeoutMs()),
				(fair) ? new WeightedRandomPlanner() : new RoundRobinPlanner());
		this.metrics.registerGauges(this.fleet::view, this.admission::status, this.lifecycle::inFlight,
				this::configVersion);
		this.peerServer = listen("--peer-port", settings.peerAddress(),
				() -> new PeerServer(Addresses.parse(settings.peerAddress()),
						new EntryPeerHandler(this.gossip, this.config, this.claims, this.membership),
						settings.peerOptions()));
		ServiceExecutor serviceRun = new ServiceExecutor(this.serviceClient, this.fleet, this.retries, callTimes,
				traces, this.metrics, clock);
		StatusPage status = new StatusPage(settings.hostId(), settings.availabilityZone(), this.lifecycle, this.config,
				this.membership, this.gossip, this.claims, this.fleet, this.admission);
		start();
		this.callerListener = listen("--listen-port", settings.callerAddress(),
				() -> HttpListener.start(settings.callerAddress(), settings.callerLimits(),
						new CallerHandler(settings.hostId(), () -> this.routes, this.lifecycle, services, serviceRun,
								this.claims, this.admission)));
		this.adminListener = listen("--admin-port", settings.adminAddress(),
				() -> HttpListener.start(settings.adminAddress(), ADMIN_LIMITS,
						new AdminHandler(this.lifecycle, this.metrics, traces, () -> this.routes != null, status::json,
								() -> GSON.toJsonTree(this.gossip.crashFacts()), this::drainInBackground,
								(version) -> ConfigPullCodec.write(this.config.pull(version)))));
		Logger.info("http: host {} listens on port {} for callers and {} for operators", settings.hostId(),
				this.callerListener.port(), this.adminListener.port());
	}

	/**
	 * Returns the port that accepts callers.
	 * @return the port
	 */
	public int callerPort() {
		return this.callerListener.port();
	}

	/**
	 * Returns the port that accepts operators.
	 * @return the port
	 */
	public int adminPort() {
		return this.adminListener.port();
	}

	/**
	 * Drains the host and waits until the drain has ended. If it completes, the host
	 * counts as stopped.
	 */
	public void drain() {
		if (this.lifecycle.drain()) {
			awaitPendingOutcomes();
			this.stopped.countDown();
		}
	}

	// If the process exits before an outcome is recorded, a caller that retries with the
	// same idempotency key receives "outcome unknown".
	private void awaitPendingOutcomes() {
		long endNs = System.nanoTime() + MAX_OUTCOME_WAIT_MS * 1_000_000;
		while (this.claims.stats().pendingOutcomes() > 0 && System.nanoTime() < endNs) {
			LockSupport.parkNanos(OUTCOME_CHECK_INTERVAL_MS * 1_000_000);
		}
	}

	/**
	 * Waits until {@link #drain()} has completed.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitStopped() throws InterruptedException {
		this.stopped.await();
	}

	@Override
	public void close() {
		this.callerListener.close();
		this.adminListener.close();
		this.peerServer.close();
		this.tuner.close();
		this.admission.close();
		this.orders.close();
		this.fleet.close();
		this.config.close();
		this.gossip.close();
		this.claims.close();
		this.membership.close();
		this.peers.close();
		this.engineClient.close();
		this.serviceClient.close();
		this.store.close();
	}

	private void start() {
		this.gossip.onPeerVersion(this.config::peerVersionReported);
		this.config.onChange(this::configure);
		this.admission.start();
		this.fleet.start();
		this.tuner.start();
		this.membership.start();
		this.gossip.start();
		this.claims.start();
		this.config.start();
		this.orders.start();
		this.peerServer.start();
	}

	private void configure(ConfigDocuments documents) {
		switch (ConfigParser.forAvailabilityZone(documents, this.settings.availabilityZone())) {
			case ConfigResult.Valid valid -> {
				RouteTable newRoutes = new RouteTable(documents.version(), valid.configuration());
				LimitsConfig limits = valid.configuration().limits();
				this.retries.configure(limits);
				this.gossip.setQuarantineMs(limits.quarantineMs());
				this.claims.setRetentionMs(limits.claimRetentionMs());
				this.fleet.configure(valid.configuration());
				this.routes = newRoutes;
				this.tuner.configure(newRoutes);
				this.gossip.publishVersion(documents.version());
			}
			case ConfigResult.Invalid invalid ->
				Logger.error("config: version {} is not valid for this host and is not applied: {}",
						documents.version(), invalid.faults().get(0).describe());
		}
	}

	private Optional<HostDirectory> pullDirectoryFromSeeds(List<String> seeds) {
		return seeds.stream().map(this.peers::pullHosts).flatMap(Optional::stream).findFirst();
	}

	private static <T> T listen(String flag, String address, Callable<T> open) throws AddressUnusableException {
		try {
			return open.call();
		}
		catch (Exception ex) {
			throw new AddressUnusableException(flag, address, ex);
		}
	}

	private static Map<String, PlacementConfig> placements(RouteTable current) {
		return (current != null && current.configuration().placements() != null) ? current.configuration().placements()
				: Map.of();
	}

	private static double loadsPerMinute(RouteTable current) {
		return (current != null && current.configuration().weightStore() != null)
				? current.configuration().weightStore().loadsPerMinute() : 0;
	}

	private long configVersion() {
		RouteTable current = this.routes;
		return (current != null) ? current.version() : 0;
	}

	private void drainInBackground() {
		// The process keeps running, so that an operator can cancel the drain.
		Thread.ofPlatform().name("drain").start(this.lifecycle::drain);
	}

	private static Host ownHost(Settings settings) {
		return new Host(settings.hostId(), settings.availabilityZone(), settings.callerAddress(),
				settings.peerAddress(), settings.adminAddress(), HostState.LIVE);
	}

}
