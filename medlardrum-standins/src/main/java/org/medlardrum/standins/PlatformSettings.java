package org.medlardrum.standins;

import java.time.InstantSource;

/**
 * Settings of the platform stand-in.
 *
 * @param port port to listen on, 0 for any free one
 * @param writesPerS largest number of writes per second, 0 for no limit
 * @param readsPerS largest number of reads per second, 0 for no limit; a waiting watch
 * counts as one read
 * @param hostsLagMs time until readers see a change of the host list, in milliseconds
 * @param clock clock of leases and lags
 */
public record PlatformSettings(int port, double writesPerS, double readsPerS, long hostsLagMs, InstantSource clock) {

	/**
	 * Returns settings for tests: any free port, no limits, no lag.
	 * @return the settings
	 */
	public static PlatformSettings unlimited() {
		return new PlatformSettings(0, 0, 0, 0, InstantSource.system());
	}

}
