package org.medlardrum.decisions;

/**
 * Rate at which a pool completes work while its window is full. Engines report the time
 * of a layer, not what links, contention and faults leave of it, so the nominal rate may
 * be several times too high; waits computed from it would accept work that misses its
 * target.
 */
final class ServedRate {

	private static final double HORIZON_MS = 5000;

	/** Shorter observations say little, since a few completions dominate them. */
	private static final double MIN_BUSY_MS = 1000;

	private static final double MIN_SHARE = 0.05;

	private static final double MAX_SHARE = 2;

	private static final double MS_PER_S = 1000;

	private double busyMs;

	private double cost;

	private long lastMs = Long.MIN_VALUE;

	/**
	 * Moves the observation forward.
	 * @param nowMs clock reading, in milliseconds
	 * @param busy whether the window was full and work was waiting since the last call
	 */
	void advance(long nowMs, boolean busy) {
		if (this.lastMs != Long.MIN_VALUE && nowMs > this.lastMs) {
			double elapsedMs = nowMs - this.lastMs;
			double keep = StrictMath.exp(-elapsedMs / HORIZON_MS);
			this.busyMs = (this.busyMs + ((busy) ? elapsedMs : 0)) * keep;
			this.cost *= keep;
		}
		this.lastMs = Math.max(this.lastMs, nowMs);
	}

	/**
	 * Counts work that completed while the window was full.
	 * @param expectedCost cost that the work was admitted with
	 */
	void served(double expectedCost) {
		this.cost += expectedCost;
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
		double measured = this.cost * MS_PER_S / this.busyMs;
		return Math.min(MAX_SHARE * nominalCostPerS, Math.max(MIN_SHARE * nominalCostPerS, measured));
	}

}
