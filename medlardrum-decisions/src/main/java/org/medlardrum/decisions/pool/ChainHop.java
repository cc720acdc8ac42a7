package org.medlardrum.decisions.pool;

import org.medlardrum.state.LayerRange;
import org.medlardrum.state.Stage;

/**
 * One engine of a chain, with the layers that it runs for a request. Unlike
 * {@link Stage}, it holds the full description of the engine.
 *
 * @param server the engine
 * @param layers layers to run, some or all of the layers that the engine holds
 */
public record ChainHop(PoolServer server, LayerRange layers) {
}
