package org.medlardrum.state.config;

import java.util.List;

import org.medlardrum.state.Rank;

/**
 * A route: the requests that it matches, their destination and rank, and the
 * organisations that may use it.
 *
 * @param kind model or plain service
 * @param model for model routes, name of the model
 * @param adapter for model routes, name of the adapter, empty for none
 * @param pool for service routes, name of the pool
 * @param method for service routes, HTTP method, {@code *} for any
 * @param pathPrefix for service routes, prefix of the request path
 * @param rank rank of the requests
 * @param organisations names of the organisations that may use the route, {@code *} for
 * all
 * @param idempotent for service routes, whether a request may run more than once; model
 * routes are always idempotent
 * @param timeoutMs time within which a request must complete, in milliseconds
 * @param maxTokens for model routes, largest number of generated tokens
 */
public record RouteConfig(RouteKind kind, String model, String adapter, String pool, String method, String pathPrefix,
		Rank rank, List<String> organisations, boolean idempotent, long timeoutMs, int maxTokens) {
}
