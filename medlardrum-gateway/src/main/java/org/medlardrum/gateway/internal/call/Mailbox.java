package org.medlardrum.gateway.internal.call;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Signals of one request, read by the thread of the request. Its size is bounded by the
 * windows of the calls.
 */
public final class Mailbox {

	private final LinkedBlockingQueue<Signal> signals = new LinkedBlockingQueue<>();

	/**
	 * Adds a signal. Does not block.
	 * @param signal the signal
	 */
	public void offer(Signal signal) {
		this.signals.add(signal);
	}

	/**
	 * Waits for a signal.
	 * @param waitMs longest wait
	 * @return the signal, {@code null} if none came
	 */
	public Signal poll(long waitMs) {
		try {
			return this.signals.poll(Math.max(0, waitMs), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Signal.CallerLeft();
		}
	}

}
