package org.medlardrum.gateway;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import org.medlardrum.gateway.internal.http.EventLoopServer;
import org.medlardrum.gateway.internal.http.GatewayHandler;
import org.medlardrum.gateway.internal.http.GatewayMetrics;
import org.medlardrum.gateway.internal.http.MetricsHandler;
import org.medlardrum.gateway.internal.http.ReadinessHandler;
import org.medlardrum.gateway.internal.load.DigestReceiver;
import org.medlardrum.gateway.internal.load.LoadExchange;
import org.medlardrum.gateway.internal.load.LoadTable;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.gateway.internal.request.RequestServices;
import org.medlardrum.gateway.internal.request.RetryLedger;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.state.Host;
import org.medlardrum.state.routing.RoutingTable;
import org.medlardrum.state.routing.ServiceInstance;
import org.medlardrum.transport.internal.Addresses;
import org.medlardrum.transport.internal.HttpClientPool;
import org.medlardrum.transport.peer.CidrRange;
import org.medlardrum.transport.peer.PeerOptions;
import org.medlardrum.transport.peer.PeerServer;
import org.medlardrum.transport.peer.ThriftPeerNetwork;

/**
 * An entry host that passes requests through to backend servers.
 *
 * <pre>
 * Gateway gateway = Gateway.start(settings, dialect, GatewayClock.SYSTEM);
 * gateway.configure(routingTable);
 * gateway.instances(backendServers);
 * gateway.confirmed(clock.steadyMs(), clock.wallMs());
 * </pre>
 */
public final class Gateway implements AutoCloseable {

	/**
	 * Longest time to connect to a backend server: many times the delay between zones,
	 * below the second after which a lost opening packet is sent again.
	 */
	private static final int CONNECT_TIMEOUT_MS = 400;

	/** Connections of callers; with their descriptors they fit the users' small hosts. */
	private static final int MAX_CONNECTIONS = 1_200;

	/** Connections of the balancer and of those who read metrics. */
	private static final int MAX_OWN_CONNECTIONS = 64;

	/**
	 * Shortest time between the request to stop and the end: the balancer asks every
	 * second and takes a host out after two misses.
	 */
	private static final long MIN_SHUTDOWN_MS = 2_600;

	private static final long SHUTDOWN_POLL_MS = 20;

	private final GatewaySettings settings;

	private final GatewayState state;

	private final DecisionLog log;

	private final HttpClientPool clients;

	private final GatewayHandler handler;

	private final LoadExchange exchange;

	private final ThriftPeerNetwork network;

	private final PeerServer peerServer;

	private final IoExecutor executor;

	private final List<EventLoopServer> servers;

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
		this.exchange = new LoadExchange(this.state, loads, this.network::send, settings.hostId(),
				settings.availabilityZone());
		this.peerServer = new PeerServer(Addresses.parse(settings.peerAddress()), new DigestReceiver(this.exchange),
				peerOptions);
		GatewayMetrics metrics = new GatewayMetrics();
		RetryLedger retries = new RetryLedger(settings, this.exchange::peerCount);
		this.handler = new GatewayHandler(new RequestServices(settings, this.state, loads, retries, this.executor,
				this.clients, dialect, log, metrics, RandomGenerator.getDefault()));
		metrics.gauge("medlardrum_gateway_in_progress", "Requests in progress", this.handler::inProgress);
		metrics.gauge("medlardrum_gateway_config_version", "Version of the configuration in force, 0 for none",
				() -> (this.state.table() != null) ? this.state.table().version() : 0);
		metrics.gauge("medlardrum_gateway_confirmation_age_ms", "Age of the last confirmation of the configuration",
				this.state::confirmationAgeMs);
		metrics.gauge("medlardrum_gateway_dropped_log_lines", "Log lines that found the ring full", log::dropped);
		metrics.gauge("medlardrum_gateway_peers", "Other entry hosts heard lately", loads::peerCount);
		this.servers = List.of(
				EventLoopServer.start(settings.readinessAddress(), this.executor, MAX_OWN_CONNECTIONS,
						new ReadinessHandler(this.state, log, settings.readinessPath())),
				EventLoopServer.start(settings.metricsAddress(), this.executor, MAX_OWN_CONNECTIONS,
						new MetricsHandler(metrics)),
				EventLoopServer.start(settings.callerAddress(), this.executor, MAX_CONNECTIONS, this.handler));
		this.peerServer.start();
		this.exchange.start();
	}

	/**
	 * Starts a gateway, which is ready once it has a configuration that is confirmed.
	 * @param settings the settings
	 * @param dialect names of headers and documents
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
	 * Returns the port for callers.
	 * @return the port
	 */
	public int callerPort() {
		return this.servers.getLast().port();
	}

	/**
	 * Returns the port at which the balancer asks for readiness.
	 * @return the port
	 */
	public int readinessPort() {
		return this.servers.getFirst().port();
	}

	/**
	 * Puts a configuration into force unless it is older than the one in force.
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
		this.state.instances(instances);
	}

	/**
	 * Records that configuration and backend servers were the newest ones.
	 * @param steadyMs reading of the steady clock at that time
	 * @param wallMs time of day at that time
	 */
	public void recordConfirmation(long steadyMs, long wallMs) {
		this.state.confirmed(steadyMs, wallMs);
	}

	/**
	 * Replaces the other entry hosts.
	 * @param hosts the hosts without this one
	 */
	public void updatePeers(Collection<Host> hosts) {
		this.exchange.peers(hosts);
	}

	/**
	 * Logs a decision of another part of the process.
	 * @param part part of the process
	 * @param event what was decided or seen
	 * @param pairs names and values in turn
	 */
	public void log(String part, String event, Object... pairs) {
		this.log.event(part, event, pairs);
	}

	/**
	 * Stops gracefully: takes the host out of the balancer, waits for the requests in
	 * progress and closes. Blocks for at most the time of the settings.
	 */
	public void shutDown() {
		long startMs = this.state.clock().monotonicMs();
		this.state.drain();
		this.log.event("process", "draining", "inProgress", this.handler.inProgress());
		while (true) {
			long passedMs = this.state.clock().monotonicMs() - startMs;
			boolean idle = passedMs >= MIN_SHUTDOWN_MS && this.handler.inProgress() == 0;
			if (idle || passedMs >= this.settings.shutdownMs()) {
				break;
			}
			try {
				TimeUnit.MILLISECONDS.sleep(SHUTDOWN_POLL_MS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				break;
			}
		}
		this.log.event("process", "stop", "inProgress", this.handler.inProgress());
		close();
	}

	@Override
	public void close() {
		this.exchange.close();
		this.servers.reversed().forEach(EventLoopServer::close);
		this.peerServer.close();
		this.network.close();
		this.clients.close();
		this.executor.closeAsyncGracefully().subscribe();
		this.log.close();
	}

}
