package org.medlardrum.decisions;

/**
 * Thresholds of a circuit breaker.
 *
 * @param consecutiveFailures number of consecutive failures that opens the circuit
 * @param errorRate fraction of failures in the window that opens the circuit, 0 to 1
 * @param minimumResults number of results in the window from which the error rate applies
 * @param windowMs length of the sliding window, in milliseconds
 * @param openMs time before the first probe, which doubles with each failed probe, in
 * milliseconds
 * @param maxOpenMs longest time between probes, in milliseconds
 * @param probeTimeoutMs time after which a probe without a result is replaced, in
 * milliseconds
 */
public record CircuitBreakerSettings(int consecutiveFailures, double errorRate, int minimumResults, long windowMs,
		long openMs, long maxOpenMs, long probeTimeoutMs) {

	/** Default thresholds for engines and plain services. */
	public static final CircuitBreakerSettings DEFAULT = new CircuitBreakerSettings(5, 0.5, 10, 10_000, 1_000, 30_000,
			10_000);

	public CircuitBreakerSettings {
		if (consecutiveFailures < 1 || !(errorRate > 0) || windowMs < 1 || openMs < 1 || maxOpenMs < openMs) {
			throw new IllegalArgumentException(
					"Circuit breaker thresholds are out of range: " + consecutiveFailures + " failures, error rate "
							+ errorRate + ", window " + windowMs + " ms, open " + openMs + " to " + maxOpenMs + " ms");
		}
	}

}
