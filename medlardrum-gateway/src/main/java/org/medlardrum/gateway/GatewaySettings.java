package org.medlardrum.gateway;

/**
 * Settings of a gateway.
 *
 * @param hostId name of the host
 * @param availabilityZone availability zone of the host
 * @param callerAddress {@code ip:port} for callers
 * @param readinessAddress {@code ip:port} at which the balancer asks for readiness
 * @param readinessPath path of the balancer's question
 * @param metricsAddress {@code ip:port} of the metrics
 * @param peerAddress {@code ip:port} for other entry hosts
 * @param keyFreshnessMs longest age of the last confirmation of the configuration with
 * which requests with an API key are served
 * @param shutdownMs time between a request to stop and the forced end
 * @param retryRatio repeats of all hosts for each request of a service
 * @param retryWindowMs window of the budget for repeats
 * @param retryAllowance repeats of all hosts in a window beside the ratio
 */
public record GatewaySettings(String hostId, String availabilityZone, String callerAddress, String readinessAddress,
		String readinessPath, String metricsAddress, String peerAddress, long keyFreshnessMs, long shutdownMs,
		double retryRatio, long retryWindowMs, double retryAllowance) {
}
