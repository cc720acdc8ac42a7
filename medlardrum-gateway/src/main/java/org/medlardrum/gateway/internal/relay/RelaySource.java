package org.medlardrum.gateway.internal.relay;

/**
 * Where a request comes from.
 */
public enum RelaySource {

	/** A caller. */
	CALLER,

	/** Another host, which has not sent the request to a server before. */
	HOST_FIRST,

	/** Another host, which has sent the request to a server before. */
	HOST_AGAIN;

	/**
	 * Returns whether another host has passed the request on. It owns the request and
	 * counts its servers; this host sends it to one server at most, and to no other host.
	 * @return {@code true} unless the request comes from a caller
	 */
	public boolean isHost() {
		return this != CALLER;
	}

}
