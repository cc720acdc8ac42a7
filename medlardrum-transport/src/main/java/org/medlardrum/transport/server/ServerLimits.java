package org.medlardrum.transport.server;

/**
 * Limits of a server.
 *
 * @param maxConnections connections at the same time; further ones are closed at once
 * @param maxHeaderBytes longest start line and longest header field
 * @param idleTimeoutMs time after which a connection without a request in progress is
 * closed; a header that is sent slowly counts as idle
 * @param bodyTimeoutMs longest time until a request body is complete
 * @param writeTimeoutMs longest time for which a peer may leave a response unread
 */
public record ServerLimits(int maxConnections, int maxHeaderBytes, long idleTimeoutMs, long bodyTimeoutMs,
		long writeTimeoutMs) {

	public ServerLimits {
		if (maxConnections < 1 || maxHeaderBytes < 1 || idleTimeoutMs < 1 || bodyTimeoutMs < 1 || writeTimeoutMs < 1) {
			throw new IllegalArgumentException("A limit of the server is not positive");
		}
	}

}
