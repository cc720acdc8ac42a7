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
 * @param heldBytes bytes of responses that the host holds at the same time
 */
public record GatewaySettings(String hostId, String availabilityZone, String callerAddress, String readinessAddress,
		String readinessPath, String metricsAddress, String peerAddress, String relayAddress, long keyFreshnessMs,
		long shutdownMs, double retryRatio, long retryWindowMs, double retryAllowance, long heldBytes) {

	/**
	 * Part of the heap for responses. Classes, connections and the bytes of small bodies,
	 * which do not count, need the rest.
	 */
	private static final double HELD_PART_OF_HEAP = 0.3;

	/**
	 * Creates settings with a limit of held bytes that fits the heap.
	 * @param hostId identifier of the host
	 * @param availabilityZone availability zone of the host
	 * @param callerAddress {@code ip:port} for callers
	 * @param readinessAddress {@code ip:port} of the load balancer's readiness probe
	 * @param readinessPath path of the load balancer's readiness probe
	 * @param metricsAddress {@code ip:port} of the metrics
	 * @param peerAddress {@code ip:port} for other entry hosts
	 * @param relayAddress {@code ip:port} for requests that other entry hosts pass on
	 * @param keyFreshnessMs longest age of the last confirmation
	 * @param shutdownMs time between a stop request and the forced end
	 * @param retryRatio retries allowed per request of a service
	 * @param retryWindowMs window of the retry budget
	 * @param retryAllowance retries allowed per window in addition to the ratio
	 */
	public GatewaySettings(String hostId, String availabilityZone, String callerAddress, String readinessAddress,
			String readinessPath, String metricsAddress, String peerAddress, String relayAddress, long keyFreshnessMs,
			long shutdownMs, double retryRatio, long retryWindowMs, double retryAllowance) {
		this(hostId, availabilityZone, callerAddress, readinessAddress, readinessPath, metricsAddress, peerAddress,
				relayAddress, keyFreshnessMs, shutdownMs, retryRatio, retryWindowMs, retryAllowance,
				(long) (Runtime.getRuntime().maxMemory() * HELD_PART_OF_HEAP));
	}

}
