package org.medlardrum.state.config;

import org.medlardrum.state.BackendServerKind;

/**
 * A pool of backend servers. Its members come from the platform's host list.
 *
 * @param kind kind of the members
 * @param maxInFlightPerServer for plain services, requests at the same time for each
 * server
 */
public record PoolConfig(BackendServerKind kind, int maxInFlightPerServer) {
}
