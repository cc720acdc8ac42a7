package org.medlardrum.standins.internal.platform;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Simulated faults of the platform that can be changed at any time. Thread-safe.
 */
public final class PlatformFaults {

	private volatile boolean outage;

	private volatile long delayMs;

	private volatile long staleByMs;

	private final AtomicInteger writeResponsesToLose = new AtomicInteger();

	/**
	 * Returns whether every call gets a 503 response.
	 * @return {@code true} during an outage
	 */
	public boolean outage() {
		return this.outage;
	}

	/**
	 * Starts or ends an outage.
	 * @param value {@code true} to start the outage
	 */
	public void outage(boolean value) {
		this.outage = value;
	}

	/**
	 * Returns the time added to each call.
	 * @return the delay, in milliseconds
	 */
	public long delayMs() {
		return this.delayMs;
	}

	/**
	 * Sets the time added to each call.
	 * @param value the delay, in milliseconds
	 */
	public void delayMs(long value) {
		this.delayMs = value;
	}

	/**
	 * Returns the age of the state that reads and lists return.
	 * @return the age, in milliseconds, 0 for the current state
	 */
	public long staleByMs() {
		return this.staleByMs;
	}

	/**
	 * Sets the age of the state that reads and lists return.
	 * @param value the age, in milliseconds, 0 for the current state
	 */
	public void staleByMs(long value) {
		this.staleByMs = value;
	}

	/**
	 * Sets how many responses to successful writes are discarded next.
	 * @param count number of writes
	 */
	public void loseWriteResponses(int count) {
		this.writeResponsesToLose.set(count);
	}

	/**
	 * Decrements the number of responses that are still to be discarded.
	 * @return {@code true} if the current response has to be discarded
	 */
	public boolean consumeLostWriteResponse() {
		return this.writeResponsesToLose.getAndUpdate((count) -> Math.max(0, count - 1)) > 0;
	}

}
