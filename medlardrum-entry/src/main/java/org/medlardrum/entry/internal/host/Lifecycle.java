package org.medlardrum.entry.internal.host;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.tinylog.Logger;

/**
 * Graceful shutdown. Readiness fails first, so that the load balancer sends new requests
 * elsewhere; after a delay new requests are refused; requests in progress complete. Safe
 * for use by several threads.
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
	 * @param drainDelayMs time from failing readiness to refusing new requests
	 * @param drainTimeoutMs longest wait for requests in progress
	 * @param drainingListener told when draining starts and when it is taken back
	 */
	public Lifecycle(long drainDelayMs, long drainTimeoutMs, Consumer<Boolean> drainingListener) {
		this.drainDelayMs = drainDelayMs;
		this.drainTimeoutMs = drainTimeoutMs;
		this.drainingListener = drainingListener;
	}

	/**
	 * Starts a request.
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
	 * Ends a request.
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
	 * Returns whether the host drains.
	 * @return {@code true} from the start of a drain until it is taken back
	 */
	public boolean isDraining() {
		return this.draining;
	}

	/**
	 * Drains the host and waits for the end.
	 * @return {@code true} if no request is in progress, {@code false} if the drain was
	 * taken back or timed out
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
	 * Takes a drain back.
	 */
	public void undrain() {
		this.draining = false;
		this.refusing = false;
		this.drainingListener.accept(false);
		Logger.info("http: drain taken back");
	}

	// Returns false when the drain was taken back or requests are left at the end.
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
