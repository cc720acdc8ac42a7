package org.medlardrum.cli.internal;

/**
 * Client of the admin addresses of entry hosts.
 */
@FunctionalInterface
interface AdminClient {

	/**
	 * Calls an entry host.
	 * @param address {@code ip:port}
	 * @param method the HTTP method
	 * @param target path and query
	 * @param timeoutMs longest duration of the call, in milliseconds
	 * @return the response, or the reason why there is none
	 */
	AdminResponse call(String address, String method, String target, long timeoutMs);

}
