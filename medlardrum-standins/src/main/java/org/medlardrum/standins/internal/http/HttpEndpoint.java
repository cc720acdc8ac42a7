package org.medlardrum.standins.internal.http;

import java.io.IOException;
import java.net.InetSocketAddress;

import com.google.gson.JsonParseException;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpServerResponse;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.netty.HttpServers;
import org.tinylog.Logger;

/**
 * HTTP server on 127.0.0.1 that can be stopped without a graceful shutdown and restarted
 * on the same port.
 */
public final class HttpEndpoint implements AutoCloseable {

	private static final Executor VIRTUAL_THREADS = Executors
		.from(java.util.concurrent.Executors.newVirtualThreadPerTaskExecutor());

	private final ExchangeHandler handler;

	private int port;

	private HttpServerContext server;

	/**
	 * Creates an endpoint that does not listen yet.
	 * @param port port to listen on, 0 for a free port
	 * @param handler handler of the requests
	 */
	public HttpEndpoint(int port, ExchangeHandler handler) {
		this.port = port;
		this.handler = handler;
	}

	/**
	 * Returns the address of the endpoint.
	 * @return {@code ip:port}
	 */
	public synchronized String address() {
		return "127.0.0.1:" + this.port;
	}

	/**
	 * Starts listening. After {@link #stop()}, listens on the same port as before.
	 * @throws IllegalStateException if the port is in use
	 */
	public synchronized void start() {
		if (this.server != null) {
			return;
		}
		try {
			this.server = HttpServers.forAddress(new InetSocketAddress("127.0.0.1", this.port))
				.executor(VIRTUAL_THREADS)
				.listenBlockingStreamingAndAwait(this::handle);
		}
		catch (Exception ex) {
			throw new IllegalStateException("Cannot listen on 127.0.0.1:" + this.port, ex);
		}
		this.port = ((InetSocketAddress) this.server.listenAddress()).getPort();
	}

	/**
	 * Closes all connections and refuses new ones.
	 */
	public synchronized void stop() {
		if (this.server == null) {
			return;
		}
		try {
			this.server.close();
		}
		catch (Exception ex) {
			Logger.warn("http: failed to close the server on {}: {}", address(), ex.getMessage());
		}
		this.server = null;
	}

	@Override
	public void close() {
		stop();
	}

	private void handle(HttpServiceContext context, BlockingStreamingHttpRequest request,
			BlockingStreamingHttpServerResponse response) throws Exception {
		Exchange exchange = new Exchange(context, request, response);
		try {
			this.handler.handle(exchange);
		}
		catch (JsonParseException | IllegalArgumentException ex) {
			exchange.sendJson(400, java.util.Map.of("error", String.valueOf(ex.getMessage())));
		}
		catch (IOException | InterruptedException ex) {
			Logger.debug("http: {} {} failed, connection closed without a complete response: {}", exchange.method(),
					exchange.path(), ex.getMessage());
			exchange.abort();
		}
	}

}
