package org.medlardrum.decisions.pool;

import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;

/**
 * An engine that holds layers and takes requests.
 *
 * @param id identifier of this instance of the engine, new with each start
 * @param address {@code ip:port}
 * @param availabilityZone availability zone of the engine
 * @param acceleratorKind kind of accelerator
 * @param layers layers that it holds
 * @param slots largest number of requests that it accepts as the first engine of a chain
 */
public record PoolServer(String id, String address, String availabilityZone, AcceleratorKind acceleratorKind,
		LayerRange layers, int slots) {
}
