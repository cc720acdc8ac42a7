package org.medlardrum.transport.internal;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * Parser of {@code ip:port} addresses. Host names are rejected, so that no DNS lookup
 * takes place.
 */
public final class Addresses {

	private static final int MAX_PORT = 65535;

	// Other texts of digits and dots would be looked up like a host name.
	private static final String IPV4_PART = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";

	private static final Pattern HOST = Pattern
		.compile(IPV4_PART + "(\\." + IPV4_PART + "){3}|\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*]");

	private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");

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
		if (!HOST.matcher(host).matches()) {
			throw new IllegalArgumentException("Address \"" + address + "\" has no numeric host");
		}
		String port = address.substring(colon + 1);
		if (!PORT.matcher(port).matches() || Integer.parseInt(port) > MAX_PORT) {
			throw new IllegalArgumentException("Address \"" + address + "\" has no valid port");
		}
		try {
			return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port));
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException("Address \"" + address + "\" is not of the form ip:port", ex);
		}
	}

	/**
	 * Parses an address to connect to.
	 * @param address {@code ip:port}, IPv6 in brackets
	 * @return the socket address
	 * @throws IllegalArgumentException if the address cannot be parsed, or is one at
	 * which a process can only listen
	 */
	public static InetSocketAddress parseRemote(String address) {
		InetSocketAddress parsed = parse(address);
		if (parsed.getPort() == 0 || parsed.getAddress().isAnyLocalAddress()) {
			throw new IllegalArgumentException("Address \"" + address + "\" is not one to connect to");
		}
		return parsed;
	}

}
