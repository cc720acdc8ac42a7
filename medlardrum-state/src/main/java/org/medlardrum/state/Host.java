package org.medlardrum.state;

/**
 * An entry host as listed by the platform.
 *
 * @param id unique name of the host
 * @param availabilityZone availability zone of the host
 * @param callerAddress {@code ip:port} for callers
 * @param peerAddress {@code ip:port} for other entry hosts, UDP and TCP
 * @param adminAddress {@code ip:port} for operators
 * @param state state as listed
 */
public record Host(String id, String availabilityZone, String callerAddress, String peerAddress, String adminAddress,
		HostState state) {
}
