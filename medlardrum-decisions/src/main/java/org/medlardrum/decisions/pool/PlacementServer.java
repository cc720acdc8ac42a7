package org.medlardrum.decisions.pool;

import java.util.Optional;

import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;

/**
 * An engine to which the planner can assign layers.
 *
 * @param id identifier of this instance of the engine, new with each start
 * @param address {@code ip:port}
 * @param availabilityZone availability zone of the engine
 * @param acceleratorKind kind of accelerator
 * @param layers layers that it holds or has been ordered to load, empty for none
 */
public record PlacementServer(String id, String address, String availabilityZone, AcceleratorKind acceleratorKind,
		Optional<LayerRange> layers) {
}
