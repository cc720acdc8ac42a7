package org.medlardrum.gateway.internal.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.servicetalk.concurrent.api.AsyncCloseables;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ConnectExecutionStrategy;
import io.servicetalk.transport.api.ConnectionContext;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.EarlyConnectionAcceptor;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.LateConnectionAcceptor;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import org.medlardrum.transport.internal.Addresses;
import org.medlardrum.transport.internal.ConnectionContexts;
import org.medlardrum.transport.internal.ServerShutdown;

/**
 * HTTP/1.1 server whose service runs on the event loop: handing an event over to another
 * thread and back costs more than processing it.
 */
public final class EventLoopServer {

	/** Size limit of the start line and of a header field, twice the users' limit. */
	private static final int MAX_HEADER_BYTES = 32_768;

	private final HttpServerContext server;

	private EventLoopServer(HttpServerContext server) {
		this.server = server;
	}

	/**
	 * Starts a server.
	 * @param address {@code ip:port} to listen on, port 0 for any
	 * @param executor the event loop
	 * @param maxConnections limit of open connections; further ones are closed
	 * immediately
	 * @param idleTimeoutMs supplies the timeout of idle connections in force, in
	 * milliseconds; connections are closed no earlier
	 * @param service handles the requests; must not block
	 * @return the running server
	 * @throws Exception if the address cannot be used
	 */
	public static EventLoopServer start(String address, IoExecutor executor, int maxConnections,
			LongSupplier idleTimeoutMs, StreamingHttpService service) throws Exception {
		return new EventLoopServer(HttpServers.forAddress(Addresses.parse(address))
			.ioExecutor(executor)
			.executionStrategy(HttpExecutionStrategies.offloadNone())
			.protocols(HttpProtocolConfigs.h1()
				.maxStartLineLength(MAX_HEADER_BYTES)
				.maxHeaderFieldLength(MAX_HEADER_BYTES)
				.build())
			.appendEarlyConnectionAcceptor(new ConnectionLimiter(maxConnections))
			.appendLateConnectionAcceptor(new HandlerInstaller(idleTimeoutMs))
			.listenStreamingAndAwait(service));
	}

	/**
	 * Sets the action to run when the peer closes its side of the connection during a
	 * request.
	 * @param context context of the request
	 * @param action the action, run on the event loop
	 */
	static void onPeerClosed(HttpServiceContext context, Runnable action) {
		connectionHandler(context).onPeerClosed(action);
	}

	/**
	 * Keeps the connection of a request open while the request is in progress, even if
	 * neither side sends anything.
	 * @param context context of the request
	 * @param inProgress returns whether the request is in progress
	 */
	static void keepOpenWhile(HttpServiceContext context, BooleanSupplier inProgress) {
		connectionHandler(context).keepWhile(inProgress);
	}

	private static ConnectionHandler connectionHandler(HttpServiceContext context) {
		return channel(context).pipeline().get(ConnectionHandler.class);
	}

	/**
	 * Runs an action when all bytes that the library has sent on a connection until the
	 * next turn of the event loop are written to the socket, or the connection is closed.
	 * @param context context of a request
	 * @param action the action, run on the event loop
	 */
	static void afterWrites(HttpServiceContext context, Runnable action) {
		Channel channel = channel(context);
		try {
			channel.eventLoop().execute(() -> {
				ChannelHandlerContext first = channel.pipeline().firstContext();
				if (first == null) {
					action.run();
					return;
				}
				// An empty write completes after all writes before it.
				first.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((written) -> action.run());
			});
		}
		catch (RejectedExecutionException ex) {
			action.run();
		}
	}

	/**
	 * Continues to read after a complete request. The library reads only when it expects
	 * bytes, so a closed connection would otherwise be detected only by the next write.
	 * @param context context of the request
	 */
	static void detectPeerClose(HttpServiceContext context) {
		channel(context).read();
	}

	private static Channel channel(ConnectionContext context) {
		return ((NettyConnectionContext) ConnectionContexts.unwrap(context)).nettyChannel();
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.server.listenAddress()).getPort();
	}

	/**
	 * Closes servers gracefully and at the same time, or immediately if that takes too
	 * long. A connection whose caller does not close its side takes all of that time.
	 * @param servers the servers
	 * @param timeoutMs longest wait, in milliseconds
	 */
	public static void closeAll(List<EventLoopServer> servers, long timeoutMs) {
		ServerShutdown.closeGracefully(AsyncCloseables.newCompositeCloseable()
			.mergeAll(servers.stream().map((server) -> server.server).toList()), timeoutMs);
	}

	private static final class ConnectionLimiter implements EarlyConnectionAcceptor {

		private final int maxConnections;

		private final AtomicInteger connections = new AtomicInteger();

		ConnectionLimiter(int maxConnections) {
			this.maxConnections = maxConnections;
		}

		@Override
		public Completable accept(ConnectionInfo info) {
			return Completable.failed(new IllegalStateException("connection has no context"));
		}

		@Override
		public Completable accept(ConnectionContext context) {
			if (this.connections.incrementAndGet() > this.maxConnections) {
				this.connections.decrementAndGet();
				return Completable.failed(
						new IllegalStateException("connection limit reached: " + this.maxConnections + " connections"));
			}
			context.onClose().subscribe(this.connections::decrementAndGet);
			return Completable.completed();
		}

	}

	/**
	 * Adds the handler of closed and idle connections, before the first request is read.
	 *
	 * @param idleTimeoutMs supplies the timeout of idle connections
	 */
	private record HandlerInstaller(LongSupplier idleTimeoutMs) implements LateConnectionAcceptor {

		@Override
		public Completable accept(ConnectionInfo info) {
			return Completable.failed(new IllegalStateException("connection has no context"));
		}

		@Override
		public Completable accept(ConnectionContext context) {
			ConnectionHandler.install(channel(context).pipeline(), this.idleTimeoutMs);
			return Completable.completed();
		}

		@Override
		public ConnectExecutionStrategy requiredOffloads() {
			return ConnectExecutionStrategy.offloadNone();
		}

	}

}
