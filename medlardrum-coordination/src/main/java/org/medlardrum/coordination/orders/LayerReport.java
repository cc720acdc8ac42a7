package org.medlardrum.coordination.orders;

import java.util.Optional;

import org.medlardrum.state.LayerRange;

/**
 * State of an engine's layers as the engine reports it.
 *
 * @param layers layers that the engine holds, empty for none
 * @param busy whether the engine is executing an order
 * @param acceptedOrders number of orders that the engine has accepted since its start
 */
public record LayerReport(Optional<LayerRange> layers, boolean busy, long acceptedOrders) {
}
