package org.medlardrum.state.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.medlardrum.state.BackendServerKind;

/**
 * Checks rules that concern more than one member: references to other entries and
 * contradictions between members.
 */
final class ConfigRules {

	/** Tolerance for rounding errors in sums such as 0.7 + 0.2 + 0.1. */
	private static final double SUM_TOLERANCE = 1e-9;

	private ConfigRules() {
	}

	static void check(Configuration configuration, List<ConfigFault> faults) {
		configuration.models().forEach((name, model) -> checkModel(configuration, name, model, faults));
		checkKeys(configuration, faults);
		configuration.routes().forEach((name, route) -> checkRoute(configuration, name, route, faults));
		checkRouteOverlaps(configuration, faults);
		checkFloors(configuration, faults);
		checkLinks(configuration, faults);
		configuration.placements().forEach((server, placement) -> {
			if (!placement.model().isEmpty()) {
				checkReference("/placements/" + ConfigMerge.escape(server) + "/model", placement.model(),
						configuration.models().keySet(), "model", faults);
			}
		});
	}

	private static void checkModel(Configuration configuration, String name, ModelConfig model,
			List<ConfigFault> faults) {
		if (!model.pool().isEmpty()) {
			checkPool(configuration, "/models/" + ConfigMerge.escape(name) + "/pool", model.pool(),
					BackendServerKind.ENGINE, faults);
		}
	}

	private static void checkPool(Configuration configuration, String path, String pool, BackendServerKind kind,
			List<ConfigFault> faults) {
		List<String> accepted = configuration.pools()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().kind() == kind)
			.map(Map.Entry::getKey)
			.toList();
		PoolConfig found = configuration.pools().get(pool);
		if (found == null) {
			checkReference(path, pool, accepted, "pool", faults);
		}
		else if (found.kind() != null && found.kind() != kind) {
			faults.add(new ConfigFault(path, "pool '" + pool + "' has another kind of backend server",
					String.join(", ", accepted)));
		}
	}

	private static void checkReference(String path, String name, Collection<String> accepted, String kind,
			List<ConfigFault> faults) {
		if (!accepted.contains(name)) {
			faults.add(new ConfigFault(path, kind + " '" + name + "' does not exist", String.join(", ", accepted)));
		}
	}

	private static void checkKeys(Configuration configuration, List<ConfigFault> faults) {
		Map<String, String> owners = new HashMap<>();
		configuration.organisations().forEach((name, organisation) -> {
			for (String key : organisation.keySha256()) {
				String owner = owners.putIfAbsent(key, name);
				if (owner != null) {
					faults.add(new ConfigFault("/organisations/" + ConfigMerge.escape(name) + "/keySha256",
							"repeats a key of organisation '" + owner + "'", ""));
				}
			}
		});
	}

	private static void checkRoute(Configuration configuration, String name, RouteConfig route,
			List<ConfigFault> faults) {
		String path = "/routes/" + ConfigMerge.escape(name);
		checkOrganisations(configuration, path + "/organisations", route.organisations(), faults);
		if (route.kind() == RouteKind.MODEL && !route.model().isEmpty()) {
			checkReference(path + "/model", route.model(), configuration.models().keySet(), "model", faults);
		}
		if (route.kind() == RouteKind.SERVICE && !route.pool().isEmpty()) {
			checkPool(configuration, path + "/pool", route.pool(), BackendServerKind.SERVICE, faults);
		}
		RankConfig rank = configuration.ranks().get(route.rank());
		if (route.kind() == RouteKind.MODEL && rank != null && route.timeoutMs() < rank.firstTokenTargetMs()) {
			faults.add(new ConfigFault(path + "/timeoutMs",
					"is " + route.timeoutMs() + ", below the rank's firstTokenTargetMs",
					"at least " + rank.firstTokenTargetMs()));
		}
		if (!route.idempotent() && configuration.limits().claimRetentionMs() < route.timeoutMs()) {
			faults.add(new ConfigFault(path + "/timeoutMs",
					"is " + route.timeoutMs() + ", above claimRetentionMs: a repeated request could run twice",
					"at most " + configuration.limits().claimRetentionMs()));
		}
	}

	private static void checkOrganisations(Configuration configuration, String path, List<String> names,
			List<ConfigFault> faults) {
		if (names.isEmpty()) {
			faults
				.add(new ConfigFault(path, "is empty, so nobody could use the route", "names of organisations, or *"));
		}
		if (names.contains("*") && names.size() > 1) {
			faults.add(new ConfigFault(path, "contains * and names", "names of organisations, or * alone"));
		}
		for (String name : names) {
			if (!name.equals("*")) {
				checkReference(path, name, configuration.organisations().keySet(), "organisation", faults);
			}
		}
	}

	private static void checkRouteOverlaps(Configuration configuration, List<ConfigFault> faults) {
		Map<String, String> owners = new HashMap<>();
		configuration.routes().forEach((name, route) -> {
			if (route.kind() != RouteKind.SERVICE || route.pathPrefix().isEmpty()) {
				return;
			}
			String other = owners.putIfAbsent(route.method() + " " + route.pathPrefix(), name);
			if (other != null) {
				faults.add(new ConfigFault("/routes/" + ConfigMerge.escape(name),
						"has the same method and pathPrefix as route '" + other + "'", ""));
			}
		});
	}

	private static void checkFloors(Configuration configuration, List<ConfigFault> faults) {
		double sum = configuration.ranks().values().stream().mapToDouble(RankConfig::floorShare).sum();
		if (sum > 1 + SUM_TOLERANCE) {
			faults.add(new ConfigFault("/ranks",
					String.format(Locale.ROOT, "the floorShare values, defaults included, add up to %.3f", sum),
					"a sum of at most 1"));
		}
	}

	private static void checkLinks(Configuration configuration, List<ConfigFault> faults) {
		Map<String, Integer> seen = new HashMap<>();
		for (int index = 0; index < configuration.links().size(); index++) {
			LinkConfig link = configuration.links().get(index);
			boolean ordered = link.from().compareTo(link.to()) <= 0;
			String pair = (ordered ? link.from() : link.to()) + " " + (ordered ? link.to() : link.from());
			Integer other = seen.putIfAbsent(pair, index);
			if (other != null) {
				faults.add(new ConfigFault("/links/" + index, "repeats the link /links/" + other, ""));
			}
		}
	}

}
