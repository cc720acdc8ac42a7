package org.medlardrum.gateway.internal.relay;

/**
 * Another host to which a request is passed on.
 *
 * @param hostId identifier of the host
 * @param address {@code ip:port} at which it accepts requests of other hosts
 */
public record RelayTarget(String hostId, String address) {

	/** Prefix of identifiers, so that a host is not taken for a server. */
	private static final String ID_PREFIX = "host:";

	/**
	 * Returns an identifier that no server has.
	 * @return the identifier
	 */
	public String id() {
		return ID_PREFIX + this.hostId;
	}

}
