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
 * @param slots largest number of concurrent requests for which it is the first engine of
 * the chain
 */
public record PlacementServer(String id, String address, String availabilityZone, AcceleratorKind acceleratorKind,
		Optional<LayerRange> layers, int slots) {

	/**
	 * Returns this engine with other layers.
	 * @param newLayers the layers, empty for none
	 * @return the engine
	 */
	public PlacementServer withLayers(Optional<LayerRange> newLayers) {
		return new PlacementServer(this.id, this.address, this.availabilityZone, this.acceleratorKind, newLayers,
				this.slots);
	}

}
