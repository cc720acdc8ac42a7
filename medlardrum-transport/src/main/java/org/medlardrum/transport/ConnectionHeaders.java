package org.medlardrum.transport;

import java.util.Set;

/**
 * Headers that concern one connection and are never passed on (RFC 9110, section 7.6.1),
 * with those that the HTTP client sets from the body.
 */
public final class ConnectionHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private ConnectionHeaders() {
	}

	/**
	 * Returns the names.
	 * @return the names in lower case
	 */
	public static Set<String> names() {
		return NAMES;
	}

}
