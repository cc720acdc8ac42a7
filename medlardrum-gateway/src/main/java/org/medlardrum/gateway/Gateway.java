package org.medlardrum.gateway;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import org.medlardrum.coordination.follow.PeerConfirmations;
import org.medlardrum.coordination.follow.StoreReads;
import org.medlardrum.decisions.memory.ByteBudget;
import org.medlardrum.gateway.internal.admission.ServiceAdmissions;
import org.medlardrum.gateway.internal.http.EventLoopServer;
import org.medlardrum.gateway.internal.http.GatewayHandler;
import org.medlardrum.gateway.internal.http.GatewayMetrics;
import org.medlardrum.gateway.internal.http.MetricsHandler;
import org.medlardrum.gateway.internal.http.ReadinessHandler;
import org.medlardrum.gateway.internal.load.DigestReceiver;
import org.medlardrum.gateway.internal.load.LoadExchange;
import org.medlardrum.gateway.internal.load.LoadTable;
import org.medlardrum.gateway.internal.load.ServerLimits;
import org.medlardrum.gateway.internal.load.ZoneLinks;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.gateway.internal.quarantine.RequestQuarantine;
import org.medlardrum.gateway.internal.relay.RelayTargets;
import org.medlardrum.gateway.internal.request.EngineReports;
import org.medlardrum.gateway.internal.request.LinkProbe;
import org.medlardrum.gateway.internal.request.RequestDependencies;
import org.medlardrum.gateway.internal.request.RetryBudgets;
import org.medlardrum.gateway.internal.request.TimerLateness;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.gateway.internal.state.ServerPermits;
import org.medlardrum.state.Host;
import org.medlardrum.state.Rank;
import org.medlardrum.state.routing.RequestLimits;
import org.medlardrum.state.routing.RoutingTable;
import org.medlardrum.state.routing.ServiceInstance;
import org.medlardrum.transport.internal.Addresses;
import org.medlardrum.transport.internal.HttpClientPool;
import org.medlardrum.transport.peer.CidrRange;
import org.medlardrum.transport.peer.PeerOptions;
import org.medlardrum.transport.peer.PeerServer;
import org.medlardrum.transport.peer.ThriftPeerNetwork;

/**
 * Entry host that forwards callers' requests to backend servers.
 *
 * <pre>
 * Gateway gateway = Gateway.start(settings, dialect, GatewayClock.SYSTEM);
 * gateway.configure(routingTable);
 * gateway.updateInstances(backendServers);
 * gateway.recordConfirmation(GatewayClock.SYSTEM.monotonicMs(), GatewayClock.SYSTEM.wallMs());
 * </pre>
 */
public final class Gateway implements AutoCloseable {

	/**
	 * Longest time to connect to a backend server: many times the latency between
	 * availability zones, and less than the 1 s after which a lost SYN packet is
	 * retransmitted.
	 */
	private static final int CONNECT_TIMEOUT_MS = 400;

	/**
	 * Limit of caller connections; their file descriptors fit within the limit of a small
	 * host.
	 */
	private static final int MAX_CONNECTIONS = 1_200;

	/** Limit of connections from other entry hosts that pass requests on. */
	private static final int MAX_RELAY_CONNECTIONS = 300;

	/** Limit of connections from the load balancer and from metrics scrapers. */
	private static final int MAX_OWN_CONNECTIONS = 64;

	/**
	 * Shortest time between the stop request and the end of the process: the load
	 * balancer probes every second and removes a host after two failed probes.
	 */
	private static final long MIN_SHUTDOWN_MS = 2_600;

	private static final long SHUTDOWN_POLL_MS = 20;

	/**
	 * Longest wait for connections to close gracefully. Callers that keep a connection
	 * without reading from it take all of this time.
	 */
	private static final long CLOSE_TIMEOUT_MS = 250;

	/** Position of the server for other hosts in the list of servers. */
	private static final int RELAY_SERVER = 2;

	private final GatewaySettings settings;

	private final GatewayState state;

	private final DecisionLog log;

	private final ServerPermits permits;

	private final ByteBudget budget;

	private final HttpClientPool clients;

	private final ServiceAdmissions admissions;

	private final GatewayHandler handler;

	private final GatewayHandler relayHandler;

	private final RelayTargets relayTargets;

	private final LoadExchange exchange;

	private final ThriftPeerNetwork network;

	private final PeerServer peerServer;

	private final IoExecutor executor;

	private final List<EventLoopServer> servers;

	private final AtomicBoolean closed = new AtomicBoolean();

	private Gateway(GatewaySettings settings, RequestDialect dialect, GatewayClock clock, DecisionLog log)
			throws Exception {
		this.settings = settings;
		this.log = log;
		this.state = new GatewayState(clock, log, settings.keyFreshnessMs());
		this.executor = NettyIoExecutors.createIoExecutor(1, "gateway-io");
		this.clients = new HttpClientPool(CONNECT_TIMEOUT_MS, this.executor, false);
		LoadTable loads = new LoadTable();
		PeerOptions peerOptions = PeerOptions.of(List.of(CidrRange.parse("0.0.0.0/0")));
		this.network = new ThriftPeerNetwork(peerOptions);
		RequestQuarantine quarantine = new RequestQuarantine(clock, log, settings.hostId());
		ServerLimits limits = new ServerLimits(clock, log, settings.hostId());
		this.exchange = new LoadExchange(this.state, loads, quarantine, limits, this.network::send, settings.hostId(),
				settings.availabilityZone(), settings.peerAddress());
		this.peerServer = new PeerServer(Addresses.parse(settings.peerAddress()), new DigestReceiver(this.exchange),
				peerOptions);
		GatewayMetrics metrics = new GatewayMetrics();
		this.permits = new ServerPermits(this.state, log);
		RetryBudgets retries = new RetryBudgets(settings, this.exchange::peerCount);
		TimerLateness lateness = new TimerLateness(clock, log);
		this.relayTargets = new RelayTargets(this.state, RandomGenerator.getDefault());
		this.budget = new ByteBudget(settings.heldBytes(), this.executor::execute);
		this.admissions = new ServiceAdmissions(this.state, this.executor, log, RandomGenerator.getDefault());
		loads.onFreed(this.admissions::recordFreed);
		this.state.onConfiguration(this.admissions::recheck);
		this.exchange.exchangeDemand(this.admissions::ownDemand, this.admissions::updatePeer);
		RequestDependencies dependencies = new RequestDependencies(settings, this.state, loads, retries, this.executor,
				this.clients, dialect, log, metrics, this.admissions, quarantine, limits,
				new ZoneLinks(this.exchange::peerCount), this.permits,
				new EngineReports(this.state, this.clients, this.executor, dialect, this.permits, lateness), lateness,
				this.relayTargets, this.budget, RandomGenerator.getDefault());
		this.handler = new GatewayHandler(dependencies, false);
		this.relayHandler = new GatewayHandler(dependencies, true);
		LinkProbe probe = new LinkProbe(dependencies);
		this.state.onCutOff(probe::begin);
		metrics.gauge("medlardrum_gateway_in_progress", "Requests in progress", this::inProgress);
		metrics.gauge("medlardrum_gateway_config_version", "Version of the configuration in force, 0 for none",
				this.state::version);
		metrics.gauge("medlardrum_gateway_peer_config_version",
				"Highest version of the configuration that another host has told", this.state::highestPeerVersion);
		metrics.gauge("medlardrum_gateway_confirmation_age_ms", "Age of the last confirmation of the configuration",
				this.state::confirmationAgeMs);
		metrics.gauge("medlardrum_gateway_store_era", "Era of the platform's store, 0 before the first copy",
				this.state::storeEra);
		metrics.gauge("medlardrum_gateway_cut_off", "1 while this host has lost its links to the backend servers",
				() -> (this.state.isCutOff()) ? 1 : 0);
		metrics.gauge("medlardrum_gateway_dropped_log_lines", "Log lines that found the ring full", log::dropped);
		metrics.gauge("medlardrum_gateway_timer_late_ms", "Lateness of the last timer of a request",
				lateness::latestMs);
		metrics.gauge("medlardrum_gateway_held_bytes",
				"Bytes of responses that are held, without " + ByteBudget.FREE_BYTES + " bytes of each",
				this.budget::usedBytes);
		metrics.gauge("medlardrum_gateway_held_bytes_peak", "Highest value of held bytes since the start",
				this.budget::peakBytes);
		metrics.gauge("medlardrum_gateway_waiting_responses", "Responses that wait for room among the held bytes",
				this.budget::waiting);
		for (Rank rank : Rank.values()) {
			metrics.gauge("medlardrum_gateway_waiting_requests_" + rank.wireName(),
					"Requests of rank " + rank.ordinal() + " that wait for capacity",
					() -> this.admissions.waiting(rank.ordinal()));
			metrics.gauge("medlardrum_gateway_reserved_capacity_" + rank.wireName(),
					"Share of a service's capacity that rank " + rank.ordinal() + " leaves to more urgent ranks",
					() -> this.admissions.largestReservedShare(rank.ordinal()));
		}
		metrics.gauge("medlardrum_gateway_oldest_wait_ms", "Time for which the oldest waiting request has waited",
				this.admissions::oldestWaitMs);
		metrics.gauge("medlardrum_gateway_denied_engines",
				"Engines that lately did not hold the layers of their reports", this.permits::deniedEngines);
		metrics.gauge("medlardrum_gateway_peers", "Other entry hosts heard lately", loads::peerCount);
		this.servers = List.of(
				EventLoopServer.start(settings.readinessAddress(), this.executor, MAX_OWN_CONNECTIONS,
						this::idleTimeoutMs, new ReadinessHandler(this.state, log, settings.readinessPath())),
				EventLoopServer.start(settings.metricsAddress(), this.executor, MAX_OWN_CONNECTIONS,
						this::idleTimeoutMs, new MetricsHandler(metrics)),
				EventLoopServer.start(settings.relayAddress(), this.executor, MAX_RELAY_CONNECTIONS,
						this::idleTimeoutMs, this.relayHandler),
				EventLoopServer.start(settings.callerAddress(), this.executor, MAX_CONNECTIONS, this::idleTimeoutMs,
						this.handler));
		this.peerServer.start();
		this.exchange.start();
	}

	/**
	 * Starts a gateway. It becomes ready once it has a confirmed configuration.
	 * @param settings the settings
	 * @param dialect names and formats of headers and documents
	 * @param clock the clocks
	 * @return the running gateway
	 * @throws Exception if an address cannot be used
	 */
	public static Gateway start(GatewaySettings settings, RequestDialect dialect, GatewayClock clock) throws Exception {
		DecisionLog log = new DecisionLog(System.out);
		Gateway gateway = new Gateway(settings, dialect, clock, log);
		log.event("process", "start", "host", settings.hostId(), "zone", settings.availabilityZone(), "callers",
				settings.callerAddress(), "peers", settings.peerAddress());
		return gateway;
	}

	/**
	 * Starts a gateway that logs nothing.
	 * @param settings the settings
	 * @param dialect names and formats of headers and documents
	 * @param clock the clocks
	 * @return the running gateway
	 * @throws Exception if an address cannot be used
	 */
	public static Gateway startSilent(GatewaySettings settings, RequestDialect dialect, GatewayClock clock)
			throws Exception {
		return new Gateway(settings, dialect, clock, new DecisionLog(new PrintStream(OutputStream.nullOutputStream())));
	}

	/**
	 * Lets the readiness probe fail while a condition holds.
	 * @param warming returns whether the host is being warmed up
	 */
	public void notReadyWhile(BooleanSupplier warming) {
		this.state.notReadyWhile(warming);
	}

	/**
	 * Returns how many requests callers have sent.
	 * @return the number since the start
	 */
	public long receivedRequests() {
		return this.handler.received();
	}

	/**
	 * Returns the port for callers.
	 * @return the port
	 */
	public int callerPort() {
		return this.servers.getLast().port();
	}

	/**
	 * Returns the port for requests that other entry hosts pass on.
	 * @return the port
	 */
	public int relayPort() {
		return this.servers.get(RELAY_SERVER).port();
	}

	private long idleTimeoutMs() {
		RoutingTable table = this.state.table();
		return ((table != null) ? table.limits() : RequestLimits.DEFAULT).idleTimeoutMs();
	}

	long heldBytes() {
		return this.budget.usedBytes();
	}

	long peakHeldBytes() {
		return this.budget.peakBytes();
	}

	int waiting() {
		return this.admissions.waiting();
	}

	int inProgress() {
		return this.handler.inProgress() + this.relayHandler.inProgress();
	}

	/**
	 * Returns the port of the load balancer's readiness probe.
	 * @return the port
	 */
	public int readinessPort() {
		return this.servers.getFirst().port();
	}

	/**
	 * Applies a configuration if its version is newer than that of the active one.
	 * @param table the configuration
	 */
	public void configure(RoutingTable table) {
		this.state.configure(table);
	}

	/**
	 * Replaces the registered backend servers.
	 * @param instances the servers
	 */
	public void updateInstances(Collection<ServiceInstance> instances) {
		this.state.updateInstances(instances);
	}

	/**
	 * Returns whether a backend server has said that it is leaving.
	 * @param server report of the server in the registry
	 * @return {@code true} until it starts again
	 */
	public boolean isLeaving(ServiceInstance server) {
		return this.state.isLeaving(server);
	}

	/**
	 * Returns whether a backend server accepts calls of this host.
	 * @param address {@code ip:port} of the server
	 * @return {@code false} while it is leaving, or until the end of its pause
	 */
	public boolean mayCall(String address) {
		List<ServiceInstance> servers = this.state.fleet()
			.all()
			.stream()
			.filter((server) -> server.address().equals(address))
			.toList();
		return servers.isEmpty() || servers.stream().anyMatch((server) -> this.permits.mayWrite(server.id()));
	}

	/**
	 * Records what a backend server said about itself in response to a call that was no
	 * caller's request.
	 * @param address {@code ip:port} of the server
	 * @param notice what the server said
	 */
	public void recordNotice(String address, ServerNotice notice) {
		this.permits.recordNotice(address, notice);
	}

	/**
	 * Records that the configuration and the backend servers were up to date.
	 * @param monotonicMs time of the confirmation on the monotonic clock
	 * @param wallMs time of the confirmation in Unix milliseconds
	 */
	public void recordConfirmation(long monotonicMs, long wallMs) {
		this.state.recordConfirmation(monotonicMs, wallMs);
	}

	/**
	 * Returns the other hosts that read the store's version for this one.
	 * @return the hosts
	 */
	public PeerConfirmations peerConfirmations() {
		return this.exchange.confirmations();
	}

	/**
	 * Sets the reads of the store that answer the questions of other hosts.
	 * @param reads the reads
	 */
	public void serveReads(StoreReads reads) {
		this.exchange.confirmations().serve(reads);
	}

	/**
	 * Records the era of the store from which configuration and servers are read.
	 * @param era number of the store's history
	 */
	public void recordStoreEra(long era) {
		this.state.recordStoreEra(era);
	}

	/**
	 * Replaces the set of other entry hosts.
	 * @param hosts the hosts without this one
	 */
	public void updatePeers(Collection<Host> hosts) {
		this.exchange.updatePeers(hosts);
		this.relayTargets.updateHosts(hosts);
	}

	/**
	 * Logs a decision made by another part of the process.
	 * @param part part of the process
	 * @param event name of the decision or observation
	 * @param pairs alternating names and values
	 */
	public void log(String part, String event, Object... pairs) {
		this.log.event(part, event, pairs);
	}

	/**
	 * Shuts down gracefully: fails the readiness probe so that the load balancer removes
	 * the host, waits for the requests in progress and closes. Blocks for at most
	 * {@link GatewaySettings#shutdownMs()}.
	 */
	public void shutDown() {
		shutDown(() -> {
		});
	}

	/**
	 * Shuts down gracefully, together with other parts of the process.
	 * @param closeOthers closes the other parts, after all requests have ended; must not
	 * block
	 */
	public void shutDown(Runnable closeOthers) {
		ShutdownSteps steps = new ShutdownSteps(this.state.clock(), this.log);
		this.state.drain();
		this.admissions.stop();
		this.log.event("process", "draining", "inProgress", inProgress());
		steps.run("requestsMs", this::awaitRequests);
		this.log.event("process", "stop", "inProgress", inProgress(), "callers", this.handler.describeInProgress(),
				"hosts", this.relayHandler.describeInProgress());
		if (this.closed.getAndSet(true)) {
			return;
		}
		steps.run("connectionsMs", this::closeConnections);
		steps.run("othersMs", closeOthers);
		steps.run("clientsMs", this::closeClients);
		steps.logStopped();
		this.log.close();
	}

	// Waits until no request is in progress and none can be admitted any more. Requests
	// that are still in progress when the time is over get an answer.
	private void awaitRequests() {
		long endMs = this.state.clock().monotonicMs() + this.settings.shutdownMs() - CLOSE_TIMEOUT_MS;
		long idleEndMs = this.state.clock().monotonicMs() + MIN_SHUTDOWN_MS;
		boolean refusing = false;
		boolean interrupted = false;
		for (long nowMs = 0; nowMs < endMs && !interrupted; nowMs = this.state.clock().monotonicMs()) {
			if (nowMs >= idleEndMs && inProgress() == 0) {
				if (refusing) {
					return;
				}
				// A request may have been admitted after the count.
				refusing = true;
				refuseNewRequests();
				continue;
			}
			interrupted = sleep(SHUTDOWN_POLL_MS);
		}
		refuseNewRequests();
	}

	private void refuseNewRequests() {
		this.handler.refuseNewRequests();
		this.relayHandler.refuseNewRequests();
	}

	// Returns whether the thread was interrupted.
	private static boolean sleep(long timeMs) {
		try {
			TimeUnit.MILLISECONDS.sleep(timeMs);
			return false;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return true;
		}
	}

	private void closeConnections() {
		this.handler.stopRequests();
		this.relayHandler.stopRequests();
		this.exchange.close();
		// Waits for a thread that the close wakes up.
		Thread.ofVirtual().name("peer-close").start(this.peerServer::close);
		EventLoopServer.closeAll(this.servers, CLOSE_TIMEOUT_MS);
	}

	private void closeClients() {
		this.network.close();
		this.clients.close();
		this.executor.closeAsyncGracefully().subscribe();
	}

	@Override
	public void close() {
		if (!this.closed.getAndSet(true)) {
			closeConnections();
			closeClients();
			this.log.close();
		}
	}

}
