package org.medlardrum.cli.internal;

/**
 * Number of requests of one rank, from one organisation or from all.
 *
 * @param total requests with any outcome
 * @param withinTarget requests that completed within the rank's target
 */
record BurnCount(double total, double withinTarget) {

	static final BurnCount NONE = new BurnCount(0, 0);

	BurnCount plus(BurnCount other) {
		return new BurnCount(this.total + other.total, this.withinTarget + other.withinTarget);
	}

	/**
	 * Returns the burn rate: how fast the error budget is consumed.
	 * @param objective fraction of requests that must meet the target, below 1
	 * @return 1 when the fraction of missed targets is exactly what the objective allows,
	 * 0 without requests
	 */
	double burnRate(double objective) {
		return (this.total > 0) ? Math.max(0, this.total - this.withinTarget) / this.total / (1 - objective) : 0;
	}

}
