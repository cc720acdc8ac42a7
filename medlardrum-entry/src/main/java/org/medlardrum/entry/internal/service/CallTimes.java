package org.medlardrum.entry.internal.service;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Moving averages of the time of plain-service calls by pool. Safe for use by several
 * threads.
 */
public final class CallTimes {

	private static final double INITIAL_MEAN_MS = 20;

	private static final double MEASUREMENT_WEIGHT = 0.05;

	private final Map<String, Double> meanMs = new ConcurrentHashMap<>();

	/**
	 * Records a call.
	 * @param pool name of the pool
	 * @param durationMs time of the call
	 */
	public void record(String pool, double durationMs) {
		this.meanMs.merge(pool, durationMs, (mean, measured) -> mean + MEASUREMENT_WEIGHT * (measured - mean));
	}

	/**
	 * Returns the mean time of a call.
	 * @param pool name of the pool
	 * @return the time in milliseconds
	 */
	public double meanMs(String pool) {
		return this.meanMs.getOrDefault(pool, INITIAL_MEAN_MS);
	}

}
