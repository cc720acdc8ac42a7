package org.medlardrum.coordination.config;

/**
 * Settings of a {@link ConfigAgent}.
 *
 * @param hostId own host
 * @param availabilityZone own availability zone, the site whose overlay holds
 * @param pollMs mean time between two polls of the store by a host that keeps no watch
 * @param watchMs longest wait of one watch; peers' news is handled between two watches
 * @param retryMs mean wait after a failed call of the store
 */
public record ConfigAgentSettings(String hostId, String availabilityZone, long pollMs, long watchMs, long retryMs) {

	/**
	 * Creates settings with default times. A watch of 1 s costs the store 24 calls/s at 8
	 * availability zones.
	 * @param hostId own host
	 * @param availabilityZone own availability zone
	 * @return the settings
	 */
	public static ConfigAgentSettings of(String hostId, String availabilityZone) {
		return new ConfigAgentSettings(hostId, availabilityZone, 10_000, 1_000, 1_000);
	}

}
