package org.medlardrum.state;

/**
 * An entry host as the platform's host list reports it.
 *
 * @param id unique name of the host
 * @param availabilityZone availability zone of the host
 * @param callerAddress {@code ip:port} for callers
 * @param peerAddress {@code ip:port} for other entry hosts, UDP and TCP
 * @param adminAddress {@code ip:port} for operators
 * @param state state in the host list
 */
public record Host(String id, String availabilityZone, String callerAddress, String peerAddress, String adminAddress,
		HostState state) {
}
