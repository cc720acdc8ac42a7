package org.medlardrum.coordination.orders;

import java.util.Optional;

import org.medlardrum.state.LayerRange;

/**
 * What an engine says of its layers.
 *
 * @param layers layers that it holds, empty for none
 * @param busy whether it is carrying out an order
 * @param orders number of orders accepted since its start
 */
public record LayerReport(Optional<LayerRange> layers, boolean busy, long orders) {
}
