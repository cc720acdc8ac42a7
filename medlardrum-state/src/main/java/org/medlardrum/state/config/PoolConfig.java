package org.medlardrum.state.config;

import org.medlardrum.state.BackendServerKind;

/**
 * A pool of backend servers. Its members come from the platform's host list.
 *
 * @param kind kind of the members
 * @param maxInFlightPerServer for plain services, largest number of concurrent requests
 * for each server, 0 for engines
 */
public record PoolConfig(BackendServerKind kind, int maxInFlightPerServer) {
}
