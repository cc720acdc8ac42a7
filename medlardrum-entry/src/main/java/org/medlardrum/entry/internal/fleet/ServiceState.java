package org.medlardrum.entry.internal.fleet;

import org.medlardrum.state.BackendServer;
import org.medlardrum.state.CircuitState;

/**
 * State of one plain-service server as recorded by this host.
 *
 * @param server the server as listed by the platform
 * @param ownInFlight number of calls of this host in progress on the server
 * @param circuit state of the server's circuit breaker
 * @param leaving whether the server is leaving and receives no new calls
 */
public record ServiceState(BackendServer server, int ownInFlight, CircuitState circuit, boolean leaving) {
}
