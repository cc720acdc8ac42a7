package org.medlardrum.gateway.internal.request;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

import org.medlardrum.gateway.CallerAttributes;
import org.medlardrum.gateway.internal.relay.RelaySource;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.ServiceRoute;

/**
 * A caller's request with its route and limits.
 *
 * @param method HTTP method
 * @param target path and query as received
 * @param headers alternating names and values as received
 * @param body the body
 * @param attributes attributes from the caller's headers
 * @param route the route
 * @param service the service that was chosen from the route
 * @param organisation organisation of the caller, empty without an API key
 * @param rank rank of the request, 0 is the highest
 * @param arrivedAtMs time of arrival on the monotonic clock
 * @param deadlineAtMs deadline of the complete response on the monotonic clock
 * @param source whether the request comes from a caller or from another host
 */
public record GatewayRequest(String method, String target, List<String> headers, byte[] body,
		CallerAttributes attributes, ServiceRoute route, RoutedService service, Optional<String> organisation, int rank,
		long arrivedAtMs, long deadlineAtMs, RelaySource source) {

	private static final String NO_ORGANISATION = "none";

	/**
	 * Creates a request of a caller.
	 * @param method method of the request
	 * @param target path and query as received
	 * @param headers alternating names and values as received
	 * @param body the body
	 * @param attributes attributes from the caller's headers
	 * @param route the route
	 * @param service the service that was chosen from the route
	 * @param organisation organisation of the caller, empty without an API key
	 * @param rank rank of the request, 0 is the highest
	 * @param arrivedAtMs time of arrival on the monotonic clock
	 * @param deadlineAtMs deadline of the complete response on the monotonic clock
	 */
	public GatewayRequest(String method, String target, List<String> headers, byte[] body, CallerAttributes attributes,
			ServiceRoute route, RoutedService service, Optional<String> organisation, int rank, long arrivedAtMs,
			long deadlineAtMs) {
		this(method, target, headers, body, attributes, route, service, organisation, rank, arrivedAtMs, deadlineAtMs,
				RelaySource.CALLER);
	}

	/**
	 * Returns the organisation for logs and shares of capacity.
	 * @return its name, {@code none} without an API key
	 */
	public String organisationName() {
		return this.organisation.orElse(NO_ORGANISATION);
	}

	/**
	 * Returns the identifier of the request.
	 * @return the identifier
	 */
	public String id() {
		return this.attributes.requestId();
	}

	/**
	 * Returns the traffic kind of the route as a label for metrics.
	 * @return the lower-case name
	 */
	public String trafficKind() {
		return this.route.kind().name().toLowerCase(Locale.ROOT);
	}

}
