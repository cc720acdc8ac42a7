package org.medlardrum.gateway.internal.http;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;

/**
 * Detects that the peer has closed its side of a connection, and closes idle connections.
 * The library reports a close only when no response is due, and for a request with
 * {@code Connection: close} it also reports it when the peer has not closed. Its timeout
 * for idle connections is fixed, and does not spare a request in progress.
 */
final class ConnectionHandler extends ChannelInboundHandlerAdapter {

	private static final long IDLE_CHECK_INTERVAL_MS = 1_000;

	/**
	 * A connection is closed after this multiple of the timeout in force, so that a
	 * caller that reuses it shortly before the timeout does not meet the close.
	 */
	private static final double IDLE_TIMEOUT_MARGIN = 5.0 / 3;

	/**
	 * Idle time after which a connection is closed whose peer has closed its side. The
	 * peer may still read the rest of a response.
	 */
	private static final long PEER_CLOSED_TIMEOUT_MS = 3_000;

	private final LongSupplier idleTimeoutMs;

	private Runnable closeAction = () -> {
	};

	private BooleanSupplier busy = () -> false;

	/** Number of checks since the last byte in either direction. */
	private long idleChecks;

	private boolean peerClosed;

	private ConnectionHandler(LongSupplier idleTimeoutMs) {
		this.idleTimeoutMs = idleTimeoutMs;
	}

	/**
	 * Adds a handler to the pipeline of a new connection.
	 * @param pipeline the pipeline
	 * @param idleTimeoutMs supplies the timeout of idle connections in force, in
	 * milliseconds
	 */
	static void install(ChannelPipeline pipeline, LongSupplier idleTimeoutMs) {
		pipeline.addFirst(new IdleStateHandler(true, 0, 0, IDLE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS),
				new ConnectionHandler(idleTimeoutMs));
	}

	/**
	 * Sets the action to run when the peer closes its side of the connection.
	 * @param action the action, run on the event loop
	 */
	void onPeerClosed(Runnable action) {
		this.closeAction = action;
	}

	/**
	 * Sets whether the current request is in progress.
	 * @param inProgress returns {@code true} while the connection must not be closed as
	 * idle
	 */
	void keepWhile(BooleanSupplier inProgress) {
		this.busy = inProgress;
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent idle) {
			checkIdle(context, idle);
			return;
		}
		if (event instanceof ChannelInputShutdownEvent) {
			this.peerClosed = true;
			this.closeAction.run();
		}
		context.fireUserEventTriggered(event);
	}

	private void checkIdle(ChannelHandlerContext context, IdleStateEvent event) {
		this.idleChecks = (event.isFirst()) ? 1 : this.idleChecks + 1;
		double closeAfterMs = (this.peerClosed) ? PEER_CLOSED_TIMEOUT_MS
				: this.idleTimeoutMs.getAsLong() * IDLE_TIMEOUT_MARGIN;
		if (this.idleChecks * IDLE_CHECK_INTERVAL_MS >= closeAfterMs && !this.busy.getAsBoolean()) {
			context.close();
		}
	}

	// A reset is reported as a failed read; the connection becomes inactive only with
	// the next write.
	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof IOException) {
			this.closeAction.run();
		}
		context.fireExceptionCaught(cause);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.closeAction.run();
		context.fireChannelInactive();
	}

}
