package org.medlardrum.entry.internal.host;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.tinylog.Logger;

/**
 * Graceful shutdown of the host. Readiness fails first, so that the load balancer sends
 * new requests to other hosts. After a delay, new requests are refused while requests in
 * progress complete. Thread-safe.
 */
public final class Lifecycle {

	private static final long CHECK_INTERVAL_MS = 20;

	private final long drainDelayMs;

	private final long drainTimeoutMs;

	private final Consumer<Boolean> drainingListener;

	private final AtomicInteger inFlight = new AtomicInteger();

	private volatile boolean draining;

	private volatile boolean refusing;

	/**
	 * Creates the state of a running host.
	 * @param drainDelayMs time from failing readiness to refusing new requests, in
	 * milliseconds
	 * @param drainTimeoutMs maximum wait for requests in progress, in milliseconds
	 * @param drainingListener receives {@code true} when a drain starts and {@code false}
	 * when it is cancelled
	 */
	public Lifecycle(long drainDelayMs, long drainTimeoutMs, Consumer<Boolean> drainingListener) {
		this.drainDelayMs = drainDelayMs;
		this.drainTimeoutMs = drainTimeoutMs;
		this.drainingListener = drainingListener;
	}

	/**
	 * Counts a new request as in progress, unless new requests are refused. An accepted
	 * request must be ended by {@link #endRequest()}.
	 * @return {@code false} if new requests are refused
	 */
	public boolean tryStartRequest() {
		this.inFlight.incrementAndGet();
		if (!this.refusing) {
			return true;
		}
		this.inFlight.decrementAndGet();
		return false;
	}

	/**
	 * Ends a request that {@link #tryStartRequest()} accepted.
	 */
	public void endRequest() {
		this.inFlight.decrementAndGet();
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * Returns whether the host is draining.
	 * @return {@code true} from the start of a drain until it is cancelled
	 */
	public boolean isDraining() {
		return this.draining;
	}

	/**
	 * Drains the host and waits until the drain has ended.
	 * @return {@code true} if no request is in progress, {@code false} if the drain was
	 * cancelled or timed out
	 */
	public boolean drain() {
		this.draining = true;
		this.drainingListener.accept(true);
		Logger.info("http: draining, {} requests in progress", this.inFlight.get());
		if (!waitWhileDraining(this.drainDelayMs, false)) {
			return false;
		}
		this.refusing = true;
		boolean empty = waitWhileDraining(this.drainTimeoutMs, true);
		Logger.info("http: drain ended, {} requests in progress", this.inFlight.get());
		return empty;
	}

	/**
	 * Cancels a drain, so that new requests are accepted again.
	 */
	public void undrain() {
		this.draining = false;
		this.refusing = false;
		this.drainingListener.accept(false);
		Logger.info("http: drain cancelled, new requests are accepted");
	}

	// Returns false if the drain was cancelled, the thread was interrupted, or requests
	// are still in progress although the wait was for them.
	private boolean waitWhileDraining(long durationMs, boolean untilEmpty) {
		long endNs = System.nanoTime() + durationMs * 1_000_000;
		while (System.nanoTime() < endNs && this.draining) {
			if (untilEmpty && this.inFlight.get() == 0) {
				return true;
			}
			try {
				Thread.sleep(CHECK_INTERVAL_MS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
		}
		return this.draining && (!untilEmpty || this.inFlight.get() == 0);
	}

}
