package org.medlardrum.standins.internal.load;

import java.util.concurrent.TimeUnit;

/**
 * Records the times of the tokens of one streamed completion. Confined to one thread.
 */
final class TokenTimes implements TokenListener {

	private final Arrival arrival;

	private final LoadStats stats;

	private final long runStartNs;

	private long firstTokenNs = -1;

	private long lastTokenNs = -1;

	private int tokens;

	TokenTimes(Arrival arrival, LoadStats stats, long runStartNs) {
		this.arrival = arrival;
		this.stats = stats;
		this.runStartNs = runStartNs;
	}

	@Override
	public void onToken() {
		long nowNs = System.nanoTime() - this.runStartNs;
		if (this.firstTokenNs < 0) {
			this.firstTokenNs = nowNs;
		}
		else {
			long gapUs = TimeUnit.NANOSECONDS.toMicros(nowNs - this.lastTokenNs);
			this.stats.forEachGroup(this.arrival, (group) -> group.recordTokenGap(gapUs));
		}
		this.lastTokenNs = nowNs;
		this.tokens++;
		this.stats.recordDelivered(this.arrival.route(), nowNs, this.arrival.route().layers());
	}

	// Returns the time of the first token, in nanoseconds since the start of the run, or
	// -1 if there is none.
	long firstTokenNs() {
		return this.firstTokenNs;
	}

	// Returns the mean gap, in microseconds, or 0 for fewer than two tokens.
	long meanTokenGapUs() {
		return (this.tokens > 1)
				? TimeUnit.NANOSECONDS.toMicros(this.lastTokenNs - this.firstTokenNs) / (this.tokens - 1) : 0;
	}

}
