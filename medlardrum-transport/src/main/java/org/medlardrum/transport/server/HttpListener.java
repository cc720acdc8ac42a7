package org.medlardrum.transport.server;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpServerResponse;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ConnectionContext;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.EarlyConnectionAcceptor;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import org.medlardrum.transport.internal.Addresses;
import org.medlardrum.transport.internal.ConnectionContexts;
import org.medlardrum.transport.internal.HttpClientPool;
import org.medlardrum.transport.internal.ServerShutdown;

/**
 * HTTP/1.1 server.
 *
 * <pre>
 * HttpListener listener = HttpListener.start("127.0.0.1:8080", limits, handler);
 * </pre>
 */
public final class HttpListener implements AutoCloseable {

	private static final long SWEEP_INTERVAL_MS = 250;

	private static final long CLOSE_TIMEOUT_MS = 1000;

	private final Map<Object, TrackedConnection> connections = new ConcurrentHashMap<>();

	private final ServerLimits limits;

	private final HttpHandler handler;

	private final ExecutorService threads = Executors
		.newThreadPerTaskExecutor(Thread.ofVirtual().name("request-", 0).factory());

	private HttpServerContext server;

	private HttpListener(ServerLimits limits, HttpHandler handler) {
		this.limits = limits;
		this.handler = handler;
	}

	/**
	 * Starts a server.
	 * @param address {@code ip:port} to listen on, port 0 for any
	 * @param limits limits
	 * @param handler handler of the requests
	 * @return the running server
	 * @throws Exception if the address cannot be used
	 */
	public static HttpListener start(String address, ServerLimits limits, HttpHandler handler) throws Exception {
		HttpListener listener = new HttpListener(limits, handler);
		listener.server = HttpServers.forAddress(Addresses.parse(address))
			.ioExecutor(HttpClientPool.ioExecutor())
			.executor(io.servicetalk.concurrent.api.Executors.from(listener.threads))
			.protocols(HttpProtocolConfigs.h1()
				.maxStartLineLength(limits.maxHeaderBytes())
				.maxHeaderFieldLength(limits.maxHeaderBytes())
				.build())
			.drainRequestPayloadBody(false)
			.appendEarlyConnectionAcceptor(listener.new Acceptor())
			.listenBlockingStreamingAndAwait(listener::serve);
		Thread.ofVirtual().name("http-sweep").start(listener::sweep);
		return listener;
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.server.listenAddress()).getPort();
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int connections() {
		return this.connections.size();
	}

	/**
	 * Stops listening, lets responses that are being sent end, and closes all
	 * connections.
	 */
	@Override
	public void close() {
		ServerShutdown.closeGracefully(this.server, CLOSE_TIMEOUT_MS);
		this.threads.shutdown();
	}

	private void serve(HttpServiceContext context, BlockingStreamingHttpRequest request,
			BlockingStreamingHttpServerResponse response) throws Exception {
		TrackedConnection connection = this.connections.computeIfAbsent(context.remoteAddress(),
				(key) -> new TrackedConnection(context));
		connection.requestStarted();
		Runnable stopWatching = watch(context, request, connection);
		try {
			this.handler
				.handle(new HttpServerExchange(context, request, response, connection, this.limits.bodyTimeoutMs()));
		}
		finally {
			stopWatching.run();
			connection.requestEnded();
		}
	}

	// A request with "Connection: close" makes the library report the connection as
	// closing although the peer still waits; only the end of the connection counts then.
	private Runnable watch(HttpServiceContext context, BlockingStreamingHttpRequest request,
			TrackedConnection connection) {
		ConnectionContext inner = ConnectionContexts.unwrap(context);
		boolean lastRequest = request.headers().containsIgnoreCase("connection", "close");
		Completable end = (!lastRequest && inner instanceof NettyConnectionContext netty) ? netty.onClosing()
				: inner.onClose();
		return end.subscribe(connection::closing)::cancel;
	}

	private void sweep() {
		long idleNs = TimeUnit.MILLISECONDS.toNanos(this.limits.idleTimeoutMs());
		long writeNs = TimeUnit.MILLISECONDS.toNanos(this.limits.writeTimeoutMs());
		while (!this.threads.isShutdown()) {
			long nowNs = System.nanoTime();
			for (TrackedConnection connection : this.connections.values()) {
				if (connection.isOverdue(nowNs, idleNs, writeNs)) {
					connection.close();
				}
			}
			try {
				Thread.sleep(SWEEP_INTERVAL_MS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private final class Acceptor implements EarlyConnectionAcceptor {

		@Override
		public Completable accept(ConnectionInfo info) {
			return Completable.failed(new IllegalStateException("connection without a context"));
		}

		@Override
		public Completable accept(ConnectionContext context) {
			if (HttpListener.this.connections.size() >= HttpListener.this.limits.maxConnections()) {
				return Completable.failed(new IllegalStateException("too many connections"));
			}
			Object key = context.remoteAddress();
			HttpListener.this.connections.put(key, new TrackedConnection(context));
			context.onClose().subscribe(() -> HttpListener.this.connections.remove(key));
			return Completable.completed();
		}

	}

}
