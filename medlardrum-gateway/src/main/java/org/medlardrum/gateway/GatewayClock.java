package org.medlardrum.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Clocks of the process.
 *
 * @param monotonic clock that never jumps but does not count suspensions, in milliseconds
 * @param wall time of day, in Unix milliseconds
 */
public record GatewayClock(LongSupplier monotonic, LongSupplier wall) {

	/** Clocks of the runtime. */
	public static final GatewayClock SYSTEM = new GatewayClock(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
			System::currentTimeMillis);

	/**
	 * Reads the steady clock.
	 * @return the reading, in milliseconds
	 */
	public long monotonicMs() {
		return this.monotonic.getAsLong();
	}

	/**
	 * Reads the time of day.
	 * @return milliseconds since the Unix epoch
	 */
	public long wallMs() {
		return this.wall.getAsLong();
	}

}
