package org.medlardrum.state;

/**
 * An entry host of the platform's host list.
 *
 * @param id unique name of the host
 * @param availabilityZone availability zone of the host
 * @param callerAddress {@code ip:port} for callers
 * @param peerAddress {@code ip:port} for other entry hosts, UDP and TCP
 * @param adminAddress {@code ip:port} for operators
 * @param state whether the host accepts requests or is leaving
 */
public record Host(String id, String availabilityZone, String callerAddress, String peerAddress, String adminAddress,
		HostState state) {
}
