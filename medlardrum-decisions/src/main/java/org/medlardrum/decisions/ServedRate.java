package org.medlardrum.decisions;

/**
 * Rate at which this host's share of a pool completes work while the concurrency window
 * is full and work is queued. Engines report the time of a layer without the effects of
 * links, contention and faults, so the nominal rate may be several times too high. Wait
 * estimates based on the nominal rate would be too short, and the queue would accept work
 * that waits longer than its rank allows.
 */
final class ServedRate {

	private static final double TIME_CONSTANT_MS = 5000;

	// A few completions would dominate a shorter observation.
	private static final double MIN_BUSY_MS = 1000;

	// Limits of the measured rate, as ratios to the nominal one. It can exceed the
	// nominal rate, because work counts with its expected cost, which may be higher than
	// the actual one.
	private static final double MIN_RATIO_TO_NOMINAL = 0.05;

	private static final double MAX_RATIO_TO_NOMINAL = 2;

	private static final double MS_PER_S = 1000;

	private double busyMs;

	private double completedCost;

	private long advancedAtMs = Long.MIN_VALUE;

	/**
	 * Advances the observation to the current time.
	 * @param nowMs current time, in milliseconds
	 * @param busy whether the concurrency window has been full and work has been queued
	 * since the last call
	 */
	void advance(long nowMs, boolean busy) {
		if (this.advancedAtMs != Long.MIN_VALUE && nowMs > this.advancedAtMs) {
			double elapsedMs = nowMs - this.advancedAtMs;
			double decay = StrictMath.exp(-elapsedMs / TIME_CONSTANT_MS);
			this.busyMs = (this.busyMs + ((busy) ? elapsedMs : 0)) * decay;
			this.completedCost *= decay;
		}
		this.advancedAtMs = Math.max(this.advancedAtMs, nowMs);
	}

	/**
	 * Records work that completed while the concurrency window was full and work was
	 * queued.
	 * @param expectedCost cost with which the work was admitted
	 */
	void onCompleted(double expectedCost) {
		this.completedCost += expectedCost;
	}

	/**
	 * Returns the rate for wait estimates.
	 * @param nominalCostPerS rate computed from the engines' reports
	 * @return the measured rate, limited to 0.05 to 2 times the nominal rate, or the
	 * nominal rate when the observation is too short
	 */
	double costPerS(double nominalCostPerS) {
		if (this.busyMs < MIN_BUSY_MS) {
			return nominalCostPerS;
		}
		double measuredCostPerS = this.completedCost * MS_PER_S / this.busyMs;
		return Math.min(MAX_RATIO_TO_NOMINAL * nominalCostPerS,
				Math.max(MIN_RATIO_TO_NOMINAL * nominalCostPerS, measuredCostPerS));
	}

}
