package org.medlardrum.transport.peer;

import java.net.InetAddress;
import java.util.List;

/**
 * Settings of the peer network.
 *
 * @param allowedRanges ranges that peers may connect from; loopback is always allowed
 * @param maxConnections connections served at the same time
 * @param connectTimeoutMs longest wait for a connection
 * @param responseTimeoutMs longest wait for a response. It exceeds the longest time for
 * which the receiver holds a claim request, so that responses are rarely lost
 * @param idleTimeoutMs time after which the server closes an idle connection. Clients
 * stop using a connection after half of it, so that they do not send on a closed one
 */
public record PeerOptions(List<CidrRange> allowedRanges, int maxConnections, int connectTimeoutMs,
		int responseTimeoutMs, int idleTimeoutMs) {

	/** Largest frame in bytes. */
	public static final int MAX_FRAME_BYTES = 1 << 20;

	/** Largest accepted datagram in bytes. A digest has at most 900 bytes. */
	public static final int MAX_DATAGRAM_BYTES = 1400;

	private static final int DEFAULT_MAX_CONNECTIONS = 1_000;

	private static final int DEFAULT_CONNECT_TIMEOUT_MS = 500;

	private static final int DEFAULT_RESPONSE_TIMEOUT_MS = 4_000;

	private static final int DEFAULT_IDLE_TIMEOUT_MS = 60_000;

	public PeerOptions {
		allowedRanges = List.copyOf(allowedRanges);
	}

	/**
	 * Returns the default settings.
	 * @param allowedRanges ranges that peers may connect from
	 * @return the settings
	 */
	public static PeerOptions of(List<CidrRange> allowedRanges) {
		return new PeerOptions(allowedRanges, DEFAULT_MAX_CONNECTIONS, DEFAULT_CONNECT_TIMEOUT_MS,
				DEFAULT_RESPONSE_TIMEOUT_MS, DEFAULT_IDLE_TIMEOUT_MS);
	}

	boolean allows(InetAddress address) {
		return address.isLoopbackAddress() || this.allowedRanges.stream().anyMatch((range) -> range.contains(address));
	}

}
