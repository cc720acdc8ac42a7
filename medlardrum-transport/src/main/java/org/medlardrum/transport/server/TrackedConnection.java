package org.medlardrum.transport.server;

import java.util.concurrent.atomic.AtomicReference;

import io.servicetalk.transport.api.ConnectionContext;

/**
 * State of one connection, from which the listener detects timeouts and disconnects.
 */
final class TrackedConnection {

	private static final Runnable NO_ACTION = () -> {
	};

	private final ConnectionContext context;

	private final AtomicReference<Runnable> disconnectAction = new AtomicReference<>(NO_ACTION);

	private volatile long idleSinceNs = System.nanoTime();

	private volatile boolean busy;

	private volatile boolean closing;

	private volatile long writeSinceNs;

	TrackedConnection(ConnectionContext context) {
		this.context = context;
	}

	void requestStarted() {
		this.busy = true;
	}

	void requestEnded() {
		this.disconnectAction.set(NO_ACTION);
		this.idleSinceNs = System.nanoTime();
		this.busy = false;
	}

	void writeStarted() {
		this.writeSinceNs = Math.max(1, System.nanoTime());
	}

	void writeEnded() {
		this.writeSinceNs = 0;
	}

	void onDisconnect(Runnable action) {
		this.disconnectAction.set(action);
		if (this.closing) {
			this.disconnectAction.getAndSet(NO_ACTION).run();
		}
	}

	void markClosing() {
		this.closing = true;
		this.disconnectAction.getAndSet(NO_ACTION).run();
	}

	boolean isClosing() {
		return this.closing;
	}

	boolean isOverdue(long nowNs, long idleTimeoutNs, long writeTimeoutNs) {
		long since = this.writeSinceNs;
		if (this.busy) {
			return since != 0 && nowNs - since > writeTimeoutNs;
		}
		return nowNs - this.idleSinceNs > idleTimeoutNs;
	}

	void close() {
		this.context.closeAsync().subscribe();
	}

}
