package org.medlardrum.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Monotonic and wall clock of the process.
 *
 * @param monotonic monotonic clock in milliseconds; it does not advance while the host is
 * suspended
 * @param wall wall clock in Unix milliseconds
 */
public record GatewayClock(LongSupplier monotonic, LongSupplier wall) {

	/** Clocks of the Java runtime. */
	public static final GatewayClock SYSTEM = new GatewayClock(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
			System::currentTimeMillis);

	/**
	 * Returns the current time on the monotonic clock.
	 * @return the time in milliseconds
	 */
	public long monotonicMs() {
		return this.monotonic.getAsLong();
	}

	/**
	 * Returns the current time on the wall clock.
	 * @return milliseconds since the Unix epoch
	 */
	public long wallMs() {
		return this.wall.getAsLong();
	}

}
