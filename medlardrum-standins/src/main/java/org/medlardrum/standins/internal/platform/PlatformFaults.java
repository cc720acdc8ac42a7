package org.medlardrum.standins.internal.platform;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faults of the platform stand-in that can be changed at any time. Thread-safe.
 */
public final class PlatformFaults {

	private volatile boolean outage;

	private volatile long delayMs;

	private volatile long staleByMs;

	private final AtomicInteger writeResponsesToLose = new AtomicInteger();

	/**
	 * Returns whether every call is answered with 503.
	 * @return {@code true} during an outage
	 */
	public boolean outage() {
		return this.outage;
	}

	/**
	 * Starts or ends an outage.
	 * @param value {@code true} to start
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
	 * Returns the age of the state that reads and lists see.
	 * @return the age, in milliseconds, 0 for the current state
	 */
	public long staleByMs() {
		return this.staleByMs;
	}

	/**
	 * Sets the age of the state that reads and lists see.
	 * @param value the age, in milliseconds, 0 for the current state
	 */
	public void staleByMs(long value) {
		this.staleByMs = value;
	}

	/**
	 * Loses the responses of the next writes that take effect.
	 * @param count number of writes
	 */
	public void loseWriteResponses(int count) {
		this.writeResponsesToLose.set(count);
	}

	/**
	 * Takes one of the responses to lose.
	 * @return {@code true} if the response must be lost
	 */
	public boolean consumeLostWriteResponse() {
		return this.writeResponsesToLose.getAndUpdate((count) -> Math.max(0, count - 1)) > 0;
	}

}
