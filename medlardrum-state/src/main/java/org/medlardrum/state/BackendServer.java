package org.medlardrum.state;

/**
 * A backend server of the platform's host list.
 *
 * @param id unique name of the server
 * @param availabilityZone availability zone of the server
 * @param address {@code ip:port} of its HTTP interface
 * @param pool pool that the server belongs to
 * @param kind engine or plain service
 * @param accelerator accelerator kind, empty for plain services
 * @param state whether the server accepts new requests or is leaving
 */
public record BackendServer(String id, String availabilityZone, String address, String pool, BackendServerKind kind,
		String accelerator, HostState state) {
}
