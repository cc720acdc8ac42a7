package org.medlardrum.state.routing;

import java.util.Optional;

/**
 * A service that routes lead to.
 *
 * @param name name of the service
 * @param connectionLimit connections that one server accepts from all callers together
 * @param pool figures of the model pool, empty for a plain service
 */
public record RoutedService(String name, int connectionLimit, Optional<ModelPool> pool) {
}
