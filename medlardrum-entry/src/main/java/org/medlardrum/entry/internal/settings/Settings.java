package org.medlardrum.entry.internal.settings;

import java.util.List;

import org.medlardrum.transport.peer.PeerOptions;
import org.medlardrum.transport.server.ServerLimits;

/**
 * Validated settings of the process.
 *
 * @param hostId unique name of this host
 * @param availabilityZone availability zone of this host
 * @param callerAddress {@code ip:port} for callers
 * @param adminAddress {@code ip:port} for operators
 * @param peerAddress {@code ip:port} for other entry hosts
 * @param platformAddress {@code ip:port} of the platform
 * @param platformTimeoutMs timeout of calls to the platform
 * @param seedPeers addresses of peers that provide the host list while the platform is
 * unavailable
 * @param peerOptions options of the connections between entry hosts
 * @param callerLimits limits of the HTTP server for callers
 * @param connectTimeoutMs maximum time to connect to a backend server
 * @param firstFrameTimeoutMs time without a first frame after which an attempt moves to
 * another chain, if there is one
 * @param stallTimeoutMs time between frames after which an attempt moves to another
 * chain, if there is one
 * @param pollIntervalMs interval between polls of a backend server's load
 * @param drainDelayMs time from failing readiness to refusing new requests
 * @param drainTimeoutMs maximum wait for requests in progress at shutdown
 * @param admissionRingSize maximum number of messages queued for the admission thread
 * @param policy decision policy of the host
 */
public record Settings(String hostId, String availabilityZone, String callerAddress, String adminAddress,
		String peerAddress, String platformAddress, long platformTimeoutMs, List<String> seedPeers,
		PeerOptions peerOptions, ServerLimits callerLimits, int connectTimeoutMs, long firstFrameTimeoutMs,
		long stallTimeoutMs, long pollIntervalMs, long drainDelayMs, long drainTimeoutMs, int admissionRingSize,
		Policy policy) {
}
