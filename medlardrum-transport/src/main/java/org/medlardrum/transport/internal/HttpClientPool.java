package org.medlardrum.transport.internal;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.servicetalk.client.api.LoadBalancerFactory;
import io.servicetalk.context.api.ContextMap;
import io.servicetalk.http.api.BlockingStreamingHttpClient;
import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequestMetaData;
import io.servicetalk.http.api.SingleAddressHttpClientBuilder;
import io.servicetalk.http.netty.DefaultHttpLoadBalancerFactory;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.http.utils.TimeoutHttpRequesterFilter;
import io.servicetalk.loadbalancer.RoundRobinLoadBalancers;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;

/**
 * Pool of HTTP/1.1 clients, one for each numeric address. ServiceTalk's retries, name
 * resolution and health checks are disabled; callers decide on retries from the outcome
 * of each call.
 */
public final class HttpClientPool implements AutoCloseable {

	/** Key of the longest time until the response header, set in a request's context. */
	public static final ContextMap.Key<Duration> HEADER_TIMEOUT = ContextMap.Key.newKey("medlardrum-header-timeout",
			Duration.class);

	/** Key of the check before the first byte, set in a request's context. */
	public static final ContextMap.Key<WriteCheck> WRITE_CHECK = ContextMap.Key.newKey("medlardrum-write-check",
			WriteCheck.class);

	private static final Duration DEFAULT_HEADER_TIMEOUT = Duration.ofSeconds(30);

	/**
	 * Two event loops suffice for a small host. Callers block on threads of their own.
	 */
	private static final int IO_THREADS = 2;

	private final Map<String, BlockingStreamingHttpClient> clients = new ConcurrentHashMap<>();

	private final int connectTimeoutMs;

	private final IoExecutor executor;

	private final boolean enforceHeaderTimeout;

	/**
	 * Creates an empty pool on the event loops of the process.
	 * @param connectTimeoutMs longest time to set up a connection
	 */
	public HttpClientPool(int connectTimeoutMs) {
		this(connectTimeoutMs, ioExecutor(), true);
	}

	/**
	 * Creates an empty pool.
	 * @param connectTimeoutMs longest time to set up a connection
	 * @param executor event loops of the clients
	 * @param enforceHeaderTimeout whether requests fail after {@link #HEADER_TIMEOUT};
	 * callers that enforce their own timeout need no second timer
	 */
	public HttpClientPool(int connectTimeoutMs, IoExecutor executor, boolean enforceHeaderTimeout) {
		this.connectTimeoutMs = connectTimeoutMs;
		this.executor = executor;
		this.enforceHeaderTimeout = enforceHeaderTimeout;
	}

	/**
	 * Returns the event loops that all clients and servers of the process share.
	 * @return the executor
	 */
	public static IoExecutor ioExecutor() {
		return IoExecutorHolder.INSTANCE;
	}

	/**
	 * Returns the event loops of the clients.
	 * @return the executor
	 */
	public IoExecutor executor() {
		return this.executor;
	}

	/**
	 * Returns the client of an address.
	 * @param address {@code ip:port}
	 * @return the client
	 * @throws UnusableAddressException if the address cannot be parsed
	 */
	public BlockingStreamingHttpClient client(String address) {
		return this.clients.computeIfAbsent(address, this::create);
	}

	/**
	 * Creates a client outside of the pool, for one call on its own connection.
	 * @param address {@code ip:port}
	 * @return the client, which the caller closes
	 * @throws UnusableAddressException if the address cannot be parsed
	 */
	public BlockingStreamingHttpClient createSingle(String address) {
		return create(address);
	}

	/**
	 * Closes the clients of all addresses except the given ones.
	 * @param addresses addresses that are still in use
	 */
	public void retain(Set<String> addresses) {
		for (String address : this.clients.keySet()) {
			if (!addresses.contains(address)) {
				BlockingStreamingHttpClient client = this.clients.remove(address);
				if (client != null) {
					client.asStreamingClient().closeAsyncGracefully().subscribe();
				}
			}
		}
	}

	/**
	 * Stops using the connections that are open, because those of one age may become
	 * unresponsive at the same time. Calls in progress are not affected; later ones use
	 * new connections.
	 */
	public void replaceConnections() {
		retain(Set.of());
	}

	/**
	 * Closes the connections to all addresses at once, so that calls in progress fail.
	 * Later calls use new connections.
	 */
	public void abort() {
		for (String address : this.clients.keySet()) {
			BlockingStreamingHttpClient client = this.clients.remove(address);
			if (client != null) {
				client.asStreamingClient().closeAsync().subscribe();
			}
		}
	}

	@Override
	public void close() {
		this.clients.values().forEach((client) -> client.asStreamingClient().closeAsync().subscribe());
		this.clients.clear();
	}

	private static InetSocketAddress parse(String address) {
		try {
			return Addresses.parse(address);
		}
		catch (IllegalArgumentException ex) {
			throw new UnusableAddressException(ex);
		}
	}

	private BlockingStreamingHttpClient create(String address) {
		SingleAddressHttpClientBuilder<InetSocketAddress, InetSocketAddress> builder = HttpClients
			.forResolvedAddress(parse(address))
			.ioExecutor(this.executor)
			.executionStrategy(HttpExecutionStrategies.offloadNone())
			.protocols(HttpProtocolConfigs.h1().maxPipelinedRequests(1).build())
			.socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, this.connectTimeoutMs)
			.loadBalancerFactory(DefaultHttpLoadBalancerFactory.Builder.from(withoutHealthChecks()).build())
			.appendConnectionFilter(WriteCheckFilter::new)
			.appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries());
		if (this.enforceHeaderTimeout) {
			builder.appendClientFilter(
					new TimeoutHttpRequesterFilter((request, clock) -> HttpClientPool.headerTimeout(request), false));
		}
		return builder.buildBlockingStreaming();
	}

	// With health checks, ServiceTalk stops connecting to an address for several seconds
	// after five refused connections, which delays the use of a restarted server.
	private static LoadBalancerFactory<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection> withoutHealthChecks() {
		return RoundRobinLoadBalancers
			.<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>builder("medlardrum")
			.healthCheckFailedConnectionsThreshold(-1)
			.build();
	}

	private static Duration headerTimeout(HttpRequestMetaData request) {
		Duration timeout = request.context().get(HEADER_TIMEOUT);
		return (timeout != null) ? timeout : DEFAULT_HEADER_TIMEOUT;
	}

	private static final class IoExecutorHolder {

		private static final IoExecutor INSTANCE = NettyIoExecutors.createIoExecutor(IO_THREADS, "http-io");

	}

}
