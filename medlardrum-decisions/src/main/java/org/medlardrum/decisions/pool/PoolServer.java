package org.medlardrum.decisions.pool;

import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;

/**
 * An engine that holds layers and takes requests.
 *
 * @param id identifier of this start of the engine
 * @param address {@code ip:port}
 * @param availabilityZone availability zone of the engine
 * @param kind kind of accelerator
 * @param layers layers that it holds
 * @param slots requests that it takes as the first of a chain
 */
public record PoolServer(String id, String address, String availabilityZone, AcceleratorKind kind, LayerRange layers,
		int slots) {
}
