package org.medlardrum.state.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds entries of one merged configuration that have no effect or contradict others.
 */
final class ConfigWarnings {

	/** Path of model requests, which is matched before all service routes. */
	private static final String MODEL_REQUESTS_PATH = "/v1/chat/completions";

	private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

	private final Configuration configuration;

	private final List<ConfigWarning> warnings = new ArrayList<>();

	private ConfigWarnings(Configuration configuration) {
		this.configuration = configuration;
	}

	static List<ConfigWarning> of(Configuration configuration) {
		ConfigWarnings review = new ConfigWarnings(configuration);
		configuration.pools().keySet().forEach(review::reviewPool);
		configuration.models().keySet().forEach(review::reviewModel);
		configuration.organisations().forEach(review::reviewOrganisation);
		configuration.routes().forEach(review::reviewCallers);
		configuration.routes().forEach(review::reviewMatches);
		configuration.placements().forEach(review::reviewPlacement);
		return review.warnings;
	}

	private void reviewPool(String name) {
		boolean used = this.configuration.models().values().stream().anyMatch((model) -> model.pool().equals(name))
				|| this.configuration.routes().values().stream().anyMatch((route) -> route.pool().equals(name));
		if (!used) {
			addUnused("/pools/" + ConfigMerge.escape(name), "no route and no model uses the pool");
		}
	}

	private void reviewModel(String name) {
		if (this.configuration.routes().values().stream().noneMatch((route) -> route.model().equals(name))) {
			addUnused("/models/" + ConfigMerge.escape(name), "no route uses the model, so callers cannot request it");
		}
	}

	private void reviewOrganisation(String name, OrganisationConfig organisation) {
		String path = "/organisations/" + ConfigMerge.escape(name);
		if (organisation.keySha256().isEmpty()) {
			add(path, "has no key, so all of its requests are refused");
		}
		else if (!this.configuration.routes().isEmpty()
				&& this.configuration.routes().values().stream().noneMatch((route) -> allows(route, name))) {
			addUnused(path, "no route allows the organisation, so all of its requests are refused");
		}
	}

	private void reviewCallers(String name, RouteConfig route) {
		boolean reachable = this.configuration.organisations()
			.entrySet()
			.stream()
			.anyMatch((entry) -> !entry.getValue().keySha256().isEmpty() && allows(route, entry.getKey()));
		if (!reachable) {
			add("/routes/" + ConfigMerge.escape(name), "never used: no organisation that the route allows has a key");
		}
	}

	private static boolean allows(RouteConfig route, String organisation) {
		return route.organisations().contains("*") || route.organisations().contains(organisation);
	}

	private void reviewMatches(String name, RouteConfig route) {
		if (route.kind() != RouteKind.SERVICE) {
			return;
		}
		String path = "/routes/" + ConfigMerge.escape(name);
		String prefix = route.pathPrefix();
		if (prefix.matches(".*[?#\\s].*")) {
			add(path + "/pathPrefix",
					"never matches: the path of a request contains no query, fragment or white space");
		}
		else if (Arrays.stream(prefix.split("/")).anyMatch((segment) -> segment.equals(".") || segment.equals(".."))) {
			add(path + "/pathPrefix", "never matches: requests whose path has dot segments are refused");
		}
		else if (prefix.equals(MODEL_REQUESTS_PATH)) {
			add(path + "/pathPrefix", "matches longer paths only: requests to exactly this path are model requests");
		}
		if (route.method().equals("*")) {
			Map<String, String> routesByMethod = this.configuration.routes()
				.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().pathPrefix().equals(prefix))
				.filter((entry) -> METHODS.contains(entry.getValue().method()))
				.collect(Collectors.toMap((entry) -> entry.getValue().method(), Map.Entry::getKey));
			if (routesByMethod.keySet().containsAll(METHODS)) {
				add(path, "never matches a documented method: other routes with the same pathPrefix take each ("
						+ routesByMethod.values().stream().sorted().collect(Collectors.joining(", ")) + ")");
			}
		}
	}

	private void reviewPlacement(String server, PlacementConfig placement) {
		ModelConfig model = this.configuration.models().get(placement.model());
		if (model != null && !model.version().isEmpty() && !placement.version().isEmpty()
				&& !model.version().equals(placement.version())) {
			add("/placements/" + ConfigMerge.escape(server) + "/version",
					"is '" + placement.version() + "', but engines must hold version '" + model.version()
							+ "' of model '" + placement.model() + "': the engine gets no requests for it");
		}
	}

	private void add(String path, String message) {
		this.warnings.add(new ConfigWarning(path, message, false));
	}

	private void addUnused(String path, String message) {
		this.warnings.add(new ConfigWarning(path, message, true));
	}

}
