package org.medlardrum.transport.server;

/**
 * Limits of an HTTP server.
 *
 * @param maxConnections largest number of open connections; further ones are closed at
 * once
 * @param maxHeaderBytes longest start line and longest header field
 * @param idleTimeoutMs time after which a connection without a request in progress is
 * closed; a header that is sent slowly counts as idle
 * @param bodyTimeoutMs longest time until a request body is complete
 * @param writeTimeoutMs longest time that writing to a peer may block
 */
public record ServerLimits(int maxConnections, int maxHeaderBytes, long idleTimeoutMs, long bodyTimeoutMs,
		long writeTimeoutMs) {

	public ServerLimits {
		if (maxConnections < 1 || maxHeaderBytes < 1 || idleTimeoutMs < 1 || bodyTimeoutMs < 1 || writeTimeoutMs < 1) {
			throw new IllegalArgumentException("Server limits are not all positive: maxConnections " + maxConnections
					+ ", maxHeaderBytes " + maxHeaderBytes + ", idleTimeoutMs " + idleTimeoutMs + ", bodyTimeoutMs "
					+ bodyTimeoutMs + ", writeTimeoutMs " + writeTimeoutMs);
		}
	}

}
