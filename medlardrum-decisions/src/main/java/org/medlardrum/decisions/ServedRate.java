package org.medlardrum.decisions;

/**
 * Rate at which a pool completes work while its window is full. Engines report the time
 * of a layer, not what links, contention and faults leave of it, so the nominal rate may
 * be several times too high; waits computed from it would accept work that misses its
 * target.
 */
final class ServedRate {

	private static final double TIME_CONSTANT_MS = 5000;

	/** Shorter observations say little, since a few completions dominate them. */
	private static final double MIN_BUSY_MS = 1000;

	private static final double MIN_NOMINAL_RATIO = 0.05;

	private static final double MAX_NOMINAL_RATIO = 2;

	private static final double MS_PER_S = 1000;

	private double busyMs;

	private double completedCost;

	private long advancedAtMs = Long.MIN_VALUE;

	/**
	 * Moves the observation forward.
	 * @param nowMs clock reading, in milliseconds
	 * @param busy whether the window was full and work was waiting since the last call
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
	 * Counts work that completed while the window was full.
	 * @param expectedCost cost that the work was admitted with
	 */
	void onCompleted(double expectedCost) {
		this.completedCost += expectedCost;
	}

	/**
	 * Returns the rate to compute waits with.
	 * @param nominalCostPerS rate computed from the engines' reports
	 * @return the measured rate within bounds, or the nominal one without observation
	 */
	double costPerS(double nominalCostPerS) {
		if (this.busyMs < MIN_BUSY_MS) {
			return nominalCostPerS;
		}
		double measuredCostPerS = this.completedCost * MS_PER_S / this.busyMs;
		return Math.min(MAX_NOMINAL_RATIO * nominalCostPerS,
				Math.max(MIN_NOMINAL_RATIO * nominalCostPerS, measuredCostPerS));
	}

}
