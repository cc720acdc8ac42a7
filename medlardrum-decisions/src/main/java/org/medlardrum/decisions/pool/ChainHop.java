package org.medlardrum.decisions.pool;

import org.medlardrum.state.LayerRange;

/**
 * One engine of a chain and the layers that it runs.
 *
 * @param server the engine
 * @param layers layers that it runs, within those that it holds
 */
public record ChainHop(PoolServer server, LayerRange layers) {
}
