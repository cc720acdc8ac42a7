package org.medlardrum.standins;

/**
 * Settings of a plain-service stand-in.
 *
 * @param id unique name of the server
 * @param availabilityZone availability zone of the server
 * @param pool pool of the server
 * @param port port to listen on, 0 for a free port
 * @param slots maximum number of calls that are executed concurrently
 * @param delayMs execution time of one call, in milliseconds
 */
public record ServiceSettings(String id, String availabilityZone, String pool, int port, int slots, long delayMs) {

	/**
	 * Returns settings for tests: a free port and no execution time.
	 * @param id unique name of the server
	 * @return the settings
	 */
	public static ServiceSettings of(String id) {
		return new ServiceSettings(id, "zone-1", "services", 0, 64, 0);
	}

}
