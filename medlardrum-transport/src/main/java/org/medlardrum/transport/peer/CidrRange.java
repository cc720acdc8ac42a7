package org.medlardrum.transport.peer;

import java.net.Inet4Address;
import java.net.InetAddress;
import java.util.Objects;

/**
 * Range of IPv4 addresses in CIDR notation.
 *
 * @param network network address as a 32-bit number
 * @param prefixBits leading bits that an address must share with the network, 0 to 32
 */
public record CidrRange(int network, int prefixBits) {

	public CidrRange {
		Objects.checkIndex(prefixBits, 33);
	}

	/**
	 * Parses a range such as {@code 10.1.0.0/16}. An address without a prefix length is a
	 * range of one address.
	 * @param text the range
	 * @return the range
	 */
	public static CidrRange parse(String text) {
		String[] parts = text.trim().split("/", -1);
		String[] octets = parts[0].split("\\.", -1);
		if (parts.length > 2 || octets.length != 4) {
			throw new IllegalArgumentException("'" + text + "' is not an IPv4 range such as 10.1.0.0/16");
		}
		int bits = 0;
		for (String octet : octets) {
			bits = (bits << 8) | parseNumber(octet, 255, text);
		}
		return new CidrRange(bits, (parts.length == 2) ? parseNumber(parts[1], 32, text) : 32);
	}

	private static int parseNumber(String digits, int max, String text) {
		if (!digits.matches("[0-9]{1,3}") || Integer.parseInt(digits) > max) {
			throw new IllegalArgumentException("'" + digits + "' in range '" + text + "' is not between 0 and " + max);
		}
		return Integer.parseInt(digits);
	}

	/**
	 * Returns whether the range contains an address.
	 * @param address the address
	 * @return {@code true} for an IPv4 address of the range
	 */
	public boolean contains(InetAddress address) {
		if (!(address instanceof Inet4Address)) {
			return false;
		}
		int value = 0;
		for (byte octet : address.getAddress()) {
			value = (value << 8) | (octet & 0xff);
		}
		int mask = (this.prefixBits != 0) ? -1 << (32 - this.prefixBits) : 0;
		return (value & mask) == (this.network & mask);
	}

}
