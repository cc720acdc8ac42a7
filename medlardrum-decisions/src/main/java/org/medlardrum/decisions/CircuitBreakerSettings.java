package org.medlardrum.decisions;

/**
 * Thresholds of a circuit breaker.
 *
 * @param consecutiveFailures number of consecutive failures that opens the circuit
 * @param errorRate fraction of failures in the window that opens the circuit, above 0 and
 * up to 1
 * @param minimumResults smallest number of results in the window for which the error rate
 * is evaluated
 * @param windowMs length of the sliding window over which results are counted for the
 * error rate, in milliseconds
 * @param openMs time before the first probe, which doubles with each failed probe, in
 * milliseconds
 * @param maxOpenMs upper bound of the time before a probe, in milliseconds
 * @param probeTimeoutMs time after which another request may become the probe if the
 * current probe has no result, in milliseconds
 */
public record CircuitBreakerSettings(int consecutiveFailures, double errorRate, int minimumResults, long windowMs,
		long openMs, long maxOpenMs, long probeTimeoutMs) {

	/** Default thresholds for engines and plain services. */
	public static final CircuitBreakerSettings DEFAULT = new CircuitBreakerSettings(5, 0.5, 10, 10_000, 1_000, 30_000,
			10_000);

	public CircuitBreakerSettings {
		if (consecutiveFailures < 1 || !(errorRate > 0) || windowMs < 1 || openMs < 1 || maxOpenMs < openMs) {
			throw new IllegalArgumentException("Circuit breaker thresholds are out of range: " + consecutiveFailures
					+ " failures, error rate " + errorRate + ", window " + windowMs + " ms, open " + openMs + " to "
					+ maxOpenMs
					+ " ms; all must be positive, and the maximum open time must not be less than the open time");
		}
	}

}
