package org.medlardrum.decisions.pool;

import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;

/**
 * A started engine of a model pool that can be part of a chain.
 *
 * @param id identifier of this instance of the engine, new with each start
 * @param address {@code ip:port}
 * @param availabilityZone availability zone of the engine
 * @param acceleratorKind kind of accelerator
 * @param layers layers that it holds
 * @param slots largest number of concurrent requests for which it is the first engine of
 * the chain
 */
public record PoolServer(String id, String address, String availabilityZone, AcceleratorKind acceleratorKind,
		LayerRange layers, int slots) {
}
