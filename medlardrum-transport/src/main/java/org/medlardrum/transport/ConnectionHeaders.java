package org.medlardrum.transport;

import java.util.Set;

/**
 * Headers that apply to a single connection and are never forwarded (RFC 9110, section
 * 7.6.1), and those that the HTTP client derives from the body.
 */
public final class ConnectionHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private ConnectionHeaders() {
	}

	/**
	 * Returns the header names.
	 * @return the names in lower case
	 */
	public static Set<String> names() {
		return NAMES;
	}

}
