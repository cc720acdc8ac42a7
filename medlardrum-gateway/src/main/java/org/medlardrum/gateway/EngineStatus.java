package org.medlardrum.gateway;

import java.util.Map;
import java.util.Optional;

import org.medlardrum.state.LayerRange;

/**
 * An engine's report on itself. Its values are some hundred milliseconds old.
 *
 * @param layers layers that it holds
 * @param busy whether it is carrying out an order
 * @param orders number of orders accepted since its start
 * @param awaitedServers addresses of the servers that its requests wait for, by request
 */
public record EngineStatus(Optional<LayerRange> layers, boolean busy, long orders, Map<String, String> awaitedServers) {
}
