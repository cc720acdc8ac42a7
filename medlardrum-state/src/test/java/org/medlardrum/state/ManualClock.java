package org.medlardrum.state;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clock that stands still until a test advances it.
 */
public final class ManualClock implements InstantSource {

	private final AtomicLong nowMs;

	public ManualClock(long startMs) {
		this.nowMs = new AtomicLong(startMs);
	}

	@Override
	public Instant instant() {
		return Instant.ofEpochMilli(this.nowMs.get());
	}

	/**
	 * Moves the clock forward.
	 * @param durationMs the step
	 */
	public void advance(long durationMs) {
		this.nowMs.addAndGet(durationMs);
	}

}
