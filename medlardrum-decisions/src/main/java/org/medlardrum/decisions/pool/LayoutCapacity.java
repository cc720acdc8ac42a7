package org.medlardrum.decisions.pool;

/**
 * Number of typical streams that a layout runs at the same time, by resource.
 *
 * @param cacheRequests streams for which the layer with the least KV cache has room, 0 if
 * a layer is missing
 * @param firstEngineRequests streams for which the engines that hold the first layer have
 * slots
 */
public record LayoutCapacity(double cacheRequests, double firstEngineRequests) {

	/**
	 * Returns the number of streams that all resources allow.
	 * @return the number of streams
	 */
	public double requests() {
		return Math.min(this.cacheRequests, this.firstEngineRequests);
	}

	/**
	 * Returns the resource that limits the number of streams.
	 * @return the resource
	 */
	public CapacityLimit limit() {
		if (this.cacheRequests <= 0) {
			return CapacityLimit.LAYERS;
		}
		return (this.firstEngineRequests < this.cacheRequests) ? CapacityLimit.FIRST_ENGINES : CapacityLimit.KV_CACHE;
	}

}
