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
	static final int MAX_IDLE = 2;

	private final String address;

	private final PeerOptions options;

	private final Deque<KeptConnection> idle = new ArrayDeque<>();

	private boolean closed;

	PeerConnectionPool(String address, PeerOptions options) {
		this.address = address;
		this.options = options;
	}

	KeptConnection take() throws IOException {
		KeptConnection kept = takeIdle();
		while (kept != null) {
			if (kept.isUsable(TimeUnit.MILLISECONDS.toNanos(this.options.idleTimeoutMs() / 2))) {
				return kept;
			}
			kept.close();
			kept = takeIdle();
		}
		return new KeptConnection(ThriftPeerNetwork.address(this.address), this.options);
	}

	private synchronized KeptConnection takeIdle() {
		return this.idle.pollFirst();
	}

	void giveBack(KeptConnection connection) {
		synchronized (this) {
			if (!this.closed && this.idle.size() < MAX_IDLE) {
				this.idle.addFirst(connection);
				return;
			}
		}
		connection.close();
	}

	synchronized void close() {
		this.closed = true;
		this.idle.forEach(KeptConnection::close);
		this.idle.clear();
	}

}
