package org.medlardrum.transport.internal;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parser of {@code ip:port} addresses. Host names are rejected, so that no DNS lookup
 * takes place.
 */
public final class Addresses {

	private static final int MAX_PORT = 65535;

	private Addresses() {
	}

	/**
	 * Parses an address.
	 * @param address {@code ip:port}, IPv6 in brackets
	 * @return the socket address
	 * @throws IllegalArgumentException if the host is not numeric or the port is missing
	 */
	public static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("Address \"" + address + "\" is not of the form ip:port");
		}
		String host = address.substring(0, colon);
		if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
			throw new IllegalArgumentException("Address \"" + address + "\" has no numeric host");
		}
		try {
			int port = Integer.parseInt(address.substring(colon + 1));
			if (port < 0 || port > MAX_PORT) {
				throw new IllegalArgumentException("Address \"" + address + "\" has no valid port");
			}
			return new InetSocketAddress(InetAddress.getByName(host), port);
		}
		catch (NumberFormatException | UnknownHostException ex) {
			throw new IllegalArgumentException("Address \"" + address + "\" is not of the form ip:port", ex);
		}
	}

}
