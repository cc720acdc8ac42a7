package org.medlardrum.gateway;

import java.util.Map;
import java.util.Optional;

import org.medlardrum.state.LayerRange;

/**
 * Status that an engine reports about itself. The values lag behind the engine by a few
 * hundred milliseconds. An order specifies which layers an engine must hold.
 *
 * @param layers layers that the engine holds, empty for none
 * @param busy whether the engine is executing an order
 * @param acceptedOrders number of orders accepted since the engine started
 * @param awaitedServers addresses of the servers that stalled requests wait for, by
 * request identifier
 */
public record EngineStatus(Optional<LayerRange> layers, boolean busy, long acceptedOrders,
		Map<String, String> awaitedServers) {
}
