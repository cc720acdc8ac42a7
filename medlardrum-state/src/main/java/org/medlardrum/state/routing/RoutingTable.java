package org.medlardrum.state.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One version of the operator's configuration, indexed for lookups.
 *
 * <pre>
 * RoutingTable table = new RoutingTable(7, routes, services, true, keys, RequestLimits.DEFAULT);
 * Optional&lt;ServiceRoute&gt; route = table.route("example.org", "/notes/42");
 * </pre>
 */
public final class RoutingTable {

	private final long version;

	private final Map<String, List<ServiceRoute>> routesByHost = new HashMap<>();

	private final Map<String, RoutedService> services = new HashMap<>();

	private final Map<String, KeyHolder> keys;

	private final boolean requiresKeys;

	private final RequestLimits limits;

	private final Map<String, RankOrder> rankOrders = new ConcurrentHashMap<>();

	/**
	 * Creates a table.
	 * @param version version of the configuration
	 * @param routes all routes
	 * @param services all services
	 * @param requiresKeys whether routes that are not open require an API key
	 * @param keys holders by API key
	 * @param limits limits of requests
	 */
	public RoutingTable(long version, Collection<ServiceRoute> routes, Collection<RoutedService> services,
			boolean requiresKeys, Map<String, KeyHolder> keys, RequestLimits limits) {
		this.version = version;
		this.requiresKeys = requiresKeys;
		this.keys = Map.copyOf(keys);
		this.limits = limits;
		services.forEach((service) -> this.services.put(service.name(), service));
		for (ServiceRoute route : routes) {
			this.routesByHost.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), (host) -> new ArrayList<>())
				.add(route);
		}
		Comparator<ServiceRoute> longestFirst = Comparator.comparingInt((route) -> -route.prefix().length());
		this.routesByHost.values().forEach((ofHost) -> ofHost.sort(longestFirst));
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits of requests.
	 * @return the limits
	 */
	public RequestLimits limits() {
		return this.limits;
	}

	/**
	 * Returns whether routes that are not open require an API key.
	 * @return {@code true} if the configuration names organisations
	 */
	public boolean requiresKeys() {
		return this.requiresKeys;
	}

	/**
	 * Finds the route of a request: among the routes of its host, the one with the
	 * longest prefix that matches the path.
	 * @param host value of the {@code Host} header, with or without a port
	 * @param path path without its query
	 * @return the route, empty when no route matches
	 */
	public Optional<ServiceRoute> route(String host, String path) {
		int colon = host.indexOf(':');
		String name = ((colon < 0) ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
		return this.routesByHost.getOrDefault(name, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.prefix()))
			.findFirst();
	}

	/**
	 * Returns the holder of an API key.
	 * @param key the key
	 * @return the holder, empty for an unknown key
	 */
	public Optional<KeyHolder> holder(String key) {
		return Optional.ofNullable(this.keys.get(key));
	}

	/**
	 * Returns the order of a service's requests by urgency.
	 * @param service name of the service
	 * @return the order
	 */
	public RankOrder rankOrder(String service) {
		return this.rankOrders.computeIfAbsent(service, (name) -> RankOrder.of(name,
				this.routesByHost.values().stream().flatMap(List::stream).toList(), this.keys.values()));
	}

	/**
	 * Returns a service.
	 * @param name name of the service
	 * @return the service, empty for an unknown name
	 */
	public Optional<RoutedService> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns all services.
	 * @return the services
	 */
	public Collection<RoutedService> services() {
		return List.copyOf(this.services.values());
	}

}
