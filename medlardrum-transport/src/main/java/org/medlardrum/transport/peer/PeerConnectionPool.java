package org.medlardrum.transport.peer;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Idle connections to one peer, most recently used first.
 */
final class PeerConnectionPool {

	/**
	 * Most idle connections to one peer. With 420 hosts, a server has at most 840 idle
	 * connections, below its limit of 1,000.
	 */
	static final int MAX_IDLE_CONNECTIONS = 2;

	private final String address;

	private final PeerOptions options;

	private final Deque<PeerClientConnection> idle = new ArrayDeque<>();

	private boolean closed;

	PeerConnectionPool(String address, PeerOptions options) {
		this.address = address;
		this.options = options;
	}

	PeerClientConnection acquire() throws IOException {
		PeerClientConnection connection = pollIdle();
		while (connection != null) {
			if (connection.isUsable(TimeUnit.MILLISECONDS.toNanos(this.options.idleTimeoutMs() / 2))) {
				return connection;
			}
			connection.close();
			connection = pollIdle();
		}
		return new PeerClientConnection(ThriftPeerNetwork.address(this.address), this.options);
	}

	private synchronized PeerClientConnection pollIdle() {
		return this.idle.pollFirst();
	}

	void release(PeerClientConnection connection) {
		synchronized (this) {
			if (!this.closed && this.idle.size() < MAX_IDLE_CONNECTIONS) {
				this.idle.addFirst(connection);
				return;
			}
		}
		connection.close();
	}

	synchronized void close() {
		this.closed = true;
		this.idle.forEach(PeerClientConnection::close);
		this.idle.clear();
	}

}
