package org.medlardrum.state.routing;

/**
 * Share of a route's requests that a service receives.
 *
 * @param service name of the service
 * @param weight weight relative to the other shares of the route
 */
public record ServiceShare(String service, double weight) {
}
