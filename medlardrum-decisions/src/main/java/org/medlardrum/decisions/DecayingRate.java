package org.medlardrum.decisions;

/**
 * Exponentially decaying average of cost per second.
 */
final class DecayingRate {

	private final double timeConstantMs;

	private double costPerMs;

	private long updatedAtMs;

	DecayingRate(double timeConstantMs) {
		this.timeConstantMs = timeConstantMs;
	}

	void add(double cost, long nowMs) {
		decay(nowMs);
		this.costPerMs += cost / this.timeConstantMs;
	}

	double costPerS(long nowMs) {
		decay(nowMs);
		return 1000 * this.costPerMs;
	}

	private void decay(long nowMs) {
		if (nowMs > this.updatedAtMs) {
			this.costPerMs *= StrictMath.exp((this.updatedAtMs - nowMs) / this.timeConstantMs);
			this.updatedAtMs = nowMs;
		}
	}

}
