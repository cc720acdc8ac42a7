package org.medlardrum.state.routing;

import java.util.Optional;

/**
 * A service to which routes send requests.
 *
 * @param name name of the service
 * @param connectionLimit connections that one server accepts from all callers together
 * @param pool parameters of the model pool, empty for a plain service
 */
public record RoutedService(String name, int connectionLimit, Optional<ModelPool> pool) {

	/**
	 * Returns whether the service is a model pool with scarce links between its zones.
	 * @return {@code false} for a plain service
	 */
	public boolean hasScarceZoneLinks() {
		return this.pool.filter(ModelPool::hasScarceZoneLinks).isPresent();
	}

}
