package org.medlardrum.standins;

import java.time.InstantSource;

/**
 * Settings of the platform stand-in.
 *
 * @param port port to listen on, 0 for a free port
 * @param writesPerS rate limit of writes, in writes per second, 0 for no limit
 * @param readsPerS rate limit of reads, in reads per second, 0 for no limit; a blocking
 * watch counts as one read
 * @param hostsLagMs delay until readers see a change of the host list, in milliseconds
 * @param clock clock for leases, stale reads and the host list delay
 */
public record PlatformSettings(int port, double writesPerS, double readsPerS, long hostsLagMs, InstantSource clock) {

	/**
	 * Returns settings for tests: a free port, no rate limits and no host list delay.
	 * @return the settings
	 */
	public static PlatformSettings unlimited() {
		return new PlatformSettings(0, 0, 0, 0, InstantSource.system());
	}

}
