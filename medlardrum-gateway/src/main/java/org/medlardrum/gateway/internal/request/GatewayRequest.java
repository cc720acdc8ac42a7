package org.medlardrum.gateway.internal.request;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

import org.medlardrum.gateway.CallerAttributes;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.ServiceRoute;

/**
 * A request whose route is known.
 *
 * @param method HTTP method
 * @param target path and query as received
 * @param headers names and values in turn as received
 * @param body the body
 * @param attributes what the caller says of the request
 * @param route the route
 * @param service the service that was chosen
 * @param organisation organisation of the caller
 * @param rank rank, 0 first
 * @param arrivedMs arrival, by the steady clock
 * @param endMs time by which the answer must have ended, by the steady clock
 */
public record GatewayRequest(String method, String target, List<String> headers, byte[] body,
		CallerAttributes attributes, ServiceRoute route, RoutedService service, Optional<String> organisation, int rank,
		long arrivedMs, long endMs) {

	/**
	 * Returns the identifier of the request.
	 * @return the identifier
	 */
	public String id() {
		return this.attributes.requestId();
	}

	/**
	 * Returns the label of the kind of route for metrics.
	 * @return the lower-case name
	 */
	public String kind() {
		return this.route.kind().name().toLowerCase(Locale.ROOT);
	}

}
