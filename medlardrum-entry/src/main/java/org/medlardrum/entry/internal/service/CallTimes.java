package org.medlardrum.entry.internal.service;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Moving average of the duration of plain-service calls for each pool. Thread-safe.
 */
public final class CallTimes {

	private static final double INITIAL_MEAN_MS = 20;

	private static final double MEASUREMENT_WEIGHT = 0.05;

	private final Map<String, Double> meanMs = new ConcurrentHashMap<>();

	/**
	 * Records a call.
	 * @param pool name of the pool
	 * @param durationMs duration of the call
	 */
	public void record(String pool, double durationMs) {
		this.meanMs.merge(pool, durationMs, (mean, measured) -> mean + MEASUREMENT_WEIGHT * (measured - mean));
	}

	/**
	 * Returns the mean duration of a call, an initial estimate before the first one.
	 * @param pool name of the pool
	 * @return the duration, in milliseconds
	 */
	public double meanMs(String pool) {
		return this.meanMs.getOrDefault(pool, INITIAL_MEAN_MS);
	}

}
