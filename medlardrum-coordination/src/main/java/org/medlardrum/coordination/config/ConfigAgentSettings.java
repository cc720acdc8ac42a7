package org.medlardrum.coordination.config;

/**
 * Settings of a {@link ConfigAgent}.
 *
 * @param hostId own host
 * @param availabilityZone own availability zone, which selects the overlay to apply
 * @param pollMs mean time between two polls of the store by a host that does not watch it
 * @param watchMs longest wait of one watch; versions reported by peers are handled
 * between two watches
 * @param retryMs mean wait after a failed call to the store
 */
public record ConfigAgentSettings(String hostId, String availabilityZone, long pollMs, long watchMs, long retryMs) {

	/**
	 * Creates settings with default times. With a watch of 1 s, 8 availability zones of 3
	 * watchers make 24 calls/s to the store.
	 * @param hostId own host
	 * @param availabilityZone own availability zone
	 * @return the settings
	 */
	public static ConfigAgentSettings of(String hostId, String availabilityZone) {
		return new ConfigAgentSettings(hostId, availabilityZone, 10_000, 1_000, 1_000);
	}

}
