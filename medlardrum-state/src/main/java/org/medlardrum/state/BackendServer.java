package org.medlardrum.state;

/**
 * A backend server as the platform's host list reports it.
 *
 * @param id unique name of the server
 * @param availabilityZone availability zone of the server
 * @param address {@code ip:port} of its HTTP interface
 * @param pool pool that the server belongs to
 * @param kind engine or plain service
 * @param accelerator accelerator kind, empty for plain services
 * @param state state in the host list
 */
public record BackendServer(String id, String availabilityZone, String address, String pool, BackendServerKind kind,
		String accelerator, HostState state) {
}
