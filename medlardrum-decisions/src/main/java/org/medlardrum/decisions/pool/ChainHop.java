package org.medlardrum.decisions.pool;

import org.medlardrum.state.LayerRange;

/**
 * One engine of a chain, with the layers that it runs for a request.
 *
 * @param server the engine
 * @param layers layers to run, a part of the layers that the engine holds
 */
public record ChainHop(PoolServer server, LayerRange layers) {
}
