package org.medlardrum.entry.internal.fleet;

import org.medlardrum.state.BackendServer;
import org.medlardrum.state.CircuitState;

/**
 * What this host knows about one plain-service server.
 *
 * @param server the server as listed
 * @param ownInFlight calls of this host in progress
 * @param circuit state of the server's circuit breaker
 * @param leaving whether the server takes no new calls
 */
public record ServiceState(BackendServer server, int ownInFlight, CircuitState circuit, boolean leaving) {
}
