package org.medlardrum.entry.internal.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.medlardrum.state.config.Configuration;
import org.medlardrum.state.config.RouteConfig;
import org.medlardrum.state.config.RouteKind;

/**
 * Immutable index of one configuration, to find organisations by key and routes by
 * request.
 */
public final class RouteTable {

	private final long version;

	private final Configuration configuration;

	private final Map<String, String> organisationsByKeySha256 = new HashMap<>();

	private final List<Route> serviceRoutes = new ArrayList<>();

	/**
	 * Indexes a configuration.
	 * @param version version of the configuration
	 * @param configuration the configuration
	 */
	public RouteTable(long version, Configuration configuration) {
		this.version = version;
		this.configuration = configuration;
		configuration.organisations()
			.forEach((name, organisation) -> organisation.keySha256()
				.forEach((digest) -> this.organisationsByKeySha256.put(digest.toLowerCase(Locale.ROOT), name)));
		configuration.routes().forEach((name, route) -> {
			if (route.kind() == RouteKind.SERVICE) {
				this.serviceRoutes.add(new Route(name, route));
			}
		});
		this.serviceRoutes.sort(Comparator.<Route>comparingInt((route) -> -route.config().pathPrefix().length())
			.thenComparing((route) -> "*".equals(route.config().method()))
			.thenComparing(Route::name));
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the configuration.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return this.configuration;
	}

	/**
	 * Identifies an organisation by its key.
	 * @param key the key, may be {@code null}
	 * @return name of the organisation, empty if no organisation has the key
	 */
	public Optional<String> organisation(String key) {
		return (key != null) ? Optional.ofNullable(this.organisationsByKeySha256.get(Digests.sha256(key)))
				: Optional.empty();
	}

	/**
	 * Finds a model route.
	 * @param name name of the route, as in the request's {@code model}
	 * @return the route, empty if no model route has the name
	 */
	public Optional<Route> modelRoute(String name) {
		RouteConfig route = this.configuration.routes().get(name);
		return (route != null && route.kind() == RouteKind.MODEL) ? Optional.of(new Route(name, route))
				: Optional.empty();
	}

	/**
	 * Finds the service route with the longest matching path prefix. With equal prefixes
	 * a route for the method takes precedence over one for all methods.
	 * @param method method of the request
	 * @param path path of the request
	 * @return the route, empty if none matches
	 */
	public Optional<Route> serviceRoute(String method, String path) {
		return this.serviceRoutes.stream().filter((route) -> matches(route.config(), method, path)).findFirst();
	}

	private static boolean matches(RouteConfig route, String method, String path) {
		if (!"*".equals(route.method()) && !route.method().equalsIgnoreCase(method)) {
			return false;
		}
		String prefix = route.pathPrefix();
		return path.startsWith(prefix)
				&& (path.length() == prefix.length() || prefix.endsWith("/") || path.charAt(prefix.length()) == '/');
	}

}
