package org.medlardrum.gateway;

/**
 * Settings of a gateway.
 *
 * @param hostId identifier of the host
 * @param availabilityZone availability zone of the host
 * @param callerAddress {@code ip:port} for callers
 * @param readinessAddress {@code ip:port} of the load balancer's readiness probe
 * @param readinessPath path of the load balancer's readiness probe
 * @param metricsAddress {@code ip:port} of the metrics
 * @param peerAddress {@code ip:port} for other entry hosts
 * @param relayAddress {@code ip:port} for requests that other entry hosts pass on
 * @param keyFreshnessMs longest age in milliseconds of the last confirmation of the
 * configuration at which requests with an API key are still served
 * @param shutdownMs time in milliseconds between a stop request and the forced end of the
 * process
 * @param retryRatio retries of all hosts together allowed per request of a service
 * @param retryWindowMs window of the retry budget in milliseconds
 * @param retryAllowance retries of all hosts together allowed per window in addition to
 * the ratio
 */
public record GatewaySettings(String hostId, String availabilityZone, String callerAddress, String readinessAddress,
		String readinessPath, String metricsAddress, String peerAddress, String relayAddress, long keyFreshnessMs,
		long shutdownMs, double retryRatio, long retryWindowMs, double retryAllowance) {
}
