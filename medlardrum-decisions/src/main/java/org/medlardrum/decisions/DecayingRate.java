package org.medlardrum.decisions;

/**
 * Exponentially decaying average of cost per second.
 */
public final class DecayingRate {

	private final double timeConstantMs;

	private double costPerMs;

	private long updatedAtMs;

	/**
	 * Creates a rate of 0.
	 * @param timeConstantMs time in milliseconds in which a cost falls to 1/e
	 */
	public DecayingRate(double timeConstantMs) {
		this.timeConstantMs = timeConstantMs;
	}

	/**
	 * Adds a cost.
	 * @param cost the cost
	 * @param nowMs current time, in milliseconds
	 */
	public void add(double cost, long nowMs) {
		decay(nowMs);
		this.costPerMs += cost / this.timeConstantMs;
	}

	/**
	 * Returns the average.
	 * @param nowMs current time, in milliseconds
	 * @return cost per second
	 */
	public double costPerS(long nowMs) {
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
