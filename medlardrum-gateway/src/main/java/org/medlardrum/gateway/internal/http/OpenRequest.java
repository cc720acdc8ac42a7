package org.medlardrum.gateway.internal.http;

import java.util.function.Consumer;

/**
 * A request from its arrival until it is decided and its response is written. Changed on
 * the event loop only.
 */
final class OpenRequest {

	private final long arrivedAtMs;

	private final Consumer<OpenRequest> endAction;

	private volatile String id = "unknown";

	private Runnable stopAction = () -> {
	};

	private volatile boolean decided;

	private boolean received;

	private boolean written;

	OpenRequest(long arrivedAtMs, Consumer<OpenRequest> endAction) {
		this.arrivedAtMs = arrivedAtMs;
		this.endAction = endAction;
	}

	String id() {
		return this.id;
	}

	void setId(String id) {
		this.id = id;
	}

	long arrivedAtMs() {
		return this.arrivedAtMs;
	}

	/**
	 * Sets the action that ends the request when the host stops.
	 * @param action the action
	 */
	void onStop(Runnable action) {
		this.stopAction = action;
	}

	/**
	 * Ends the request because the host stops.
	 */
	void stop() {
		if (!this.decided) {
			this.stopAction.run();
		}
	}

	/**
	 * Records that the request has been received completely.
	 */
	void recordReceived() {
		this.received = true;
	}

	/**
	 * Returns whether the caller waits for the response.
	 * @return {@code true} from the last byte of the request until it is decided
	 */
	boolean isAwaited() {
		return this.received && !this.decided;
	}

	/**
	 * Records that the outcome of the request is known.
	 * @return {@code false} if it was known before
	 */
	boolean recordDecision() {
		if (this.decided) {
			return false;
		}
		this.decided = true;
		endIfComplete();
		return true;
	}

	/**
	 * Records that the response has been written, or that its connection is closed.
	 */
	void recordWritten() {
		this.written = true;
		endIfComplete();
	}

	private void endIfComplete() {
		if (this.decided && this.written) {
			this.endAction.accept(this);
		}
	}

	String describe(long nowMs) {
		return this.id + ((this.decided) ? ":writing:" : ":deciding:") + (nowMs - this.arrivedAtMs) + "ms";
	}

}
