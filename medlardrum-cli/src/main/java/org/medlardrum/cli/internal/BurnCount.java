package org.medlardrum.cli.internal;

/**
 * Requests of one rank, of one organisation or of all.
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
	 * Returns how fast the error budget is used.
	 * @param objective share of requests that must meet the target, below 1
	 * @return 1 when the share of missed targets is what the objective allows, 0 without
	 * requests
	 */
	double burnRate(double objective) {
		return (this.total > 0) ? Math.max(0, this.total - this.withinTarget) / this.total / (1 - objective) : 0;
	}

}
