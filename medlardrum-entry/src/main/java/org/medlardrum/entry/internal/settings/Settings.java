package org.medlardrum.entry.internal.settings;

import java.util.List;

import org.medlardrum.transport.peer.PeerOptions;
import org.medlardrum.transport.server.ServerLimits;

/**
 * Checked settings of the process.
 *
 * @param hostId unique name of this host
 * @param availabilityZone availability zone of this host
 * @param callerAddress {@code ip:port} for callers
 * @param adminAddress {@code ip:port} for operators
 * @param peerAddress {@code ip:port} for other entry hosts
 * @param platformAddress {@code ip:port} of the platform
 * @param platformTimeoutMs longest call of the platform
 * @param seedPeers peer addresses to learn the host list from while the platform is down
 * @param peerOptions options of the peers' network
 * @param callerLimits limits of the callers' server
 * @param connectTimeoutMs longest time to connect to a backend server
 * @param firstFrameTimeoutMs longest time to the first frame of an attempt
 * @param stallTimeoutMs longest time between the frames of an attempt
 * @param pollIntervalMs time between polls of a backend server's load
 * @param drainDelayMs time from failing readiness to refusing new requests
 * @param drainTimeoutMs longest wait for requests in progress at shutdown
 * @param admissionRingSize messages that may wait for the admission thread
 * @param policy decisions that the host takes
 */
public record Settings(String hostId, String availabilityZone, String callerAddress, String adminAddress,
		String peerAddress, String platformAddress, long platformTimeoutMs, List<String> seedPeers,
		PeerOptions peerOptions, ServerLimits callerLimits, int connectTimeoutMs, long firstFrameTimeoutMs,
		long stallTimeoutMs, long pollIntervalMs, long drainDelayMs, long drainTimeoutMs, int admissionRingSize,
		Policy policy) {
}
