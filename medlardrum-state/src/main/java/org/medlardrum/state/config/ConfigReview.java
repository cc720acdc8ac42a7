package org.medlardrum.state.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

/**
 * Reviews valid configuration documents: finds entries without effect and contradictions,
 * and describes what a change means for callers. Faults are found by
 * {@link ConfigValidator}.
 */
public final class ConfigReview {

	private static final JsonObject DEFAULTS = JsonParser.parseString("{\"schema\":1}").getAsJsonObject();

	private ConfigReview() {
	}

	/**
	 * Finds entries that have no effect and limits that contradict each other, in the
	 * base alone and in the merged configuration of each site.
	 * @param documents valid documents
	 * @return findings of severity {@link ConfigSeverity#WARNING}; a finding of the base
	 * is not repeated for each site
	 */
	public static List<ConfigFinding> warnings(ConfigDocuments documents) {
		List<ConfigWarning> ofBase = ConfigWarnings.of(configuration(documents, null));
		Map<String, List<ConfigWarning>> bySite = new TreeMap<>();
		documents.overlays()
			.keySet()
			.forEach((site) -> bySite.put(site, ConfigWarnings.of(configuration(documents, site))));
		List<ConfigFinding> findings = new ArrayList<>();
		for (ConfigWarning warning : ofBase) {
			List<String> others = bySite.keySet()
				.stream()
				.filter((site) -> !bySite.get(site).contains(warning))
				.toList();
			boolean usedElsewhere = bySite.entrySet()
				.stream()
				.filter((site) -> isDefined(mergedAt(documents, site.getKey()), warning.path()))
				.anyMatch((site) -> site.getValue().stream().noneMatch((other) -> other.path().equals(warning.path())));
			if (!warning.needsAllSites() || !usedElsewhere) {
				findings.add(finding(ConfigSeverity.WARNING, ConfigMerge.BASE, warning.path(),
						warning.message() + except(others)));
			}
		}
		addContradictions(ConfigMerge.BASE, documents.base(), findings);
		documents.overlays().forEach((site, overlay) -> {
			String document = ConfigMerge.OVERLAY_PREFIX + site;
			bySite.get(site)
				.stream()
				.filter((warning) -> !ofBase.contains(warning))
				.filter((warning) -> !warning.needsAllSites() || !isDefined(documents.base(), warning.path()))
				.forEach((warning) -> findings
					.add(finding(ConfigSeverity.WARNING, document, warning.path(), warning.message())));
			addContradictions(document, overlay, findings);
			addVoidRemovals(document, "", documents.base(), overlay, findings);
		});
		return findings;
	}

	/**
	 * Compares the values in force, defaults included, and describes what each difference
	 * means for callers.
	 * @param before valid documents, or the empty ones of version 0
	 * @param after valid documents
	 * @return findings of severity {@link ConfigSeverity#CHANGE}; a change of the base
	 * that takes effect at a site is not repeated for it
	 */
	public static List<ConfigFinding> changes(ConfigDocuments before, ConfigDocuments after) {
		Set<String> sites = new TreeSet<>(before.overlays().keySet());
		sites.addAll(after.overlays().keySet());
		List<ConfigDifference> ofBase = ConfigDifferences.between(configuration(before, null),
				configuration(after, null));
		Map<String, List<ConfigDifference>> bySite = new TreeMap<>();
		sites.forEach((site) -> bySite.put(site,
				ConfigDifferences.between(configuration(before, site), configuration(after, site))));
		List<ConfigFinding> findings = new ArrayList<>();
		for (ConfigDifference difference : ofBase) {
			List<String> others = sites.stream().filter((site) -> !bySite.get(site).contains(difference)).toList();
			findings.add(finding(ConfigSeverity.CHANGE, ConfigMerge.BASE, difference.path(),
					difference.message() + except(others)));
		}
		bySite.forEach((site, differences) -> differences.stream()
			.filter((difference) -> !ofBase.contains(difference))
			.forEach((difference) -> findings.add(finding(ConfigSeverity.CHANGE, ConfigMerge.OVERLAY_PREFIX + site,
					difference.path(), difference.message()))));
		for (ConfigEdit edit : ConfigMerge.diff(before, after)) {
			String path = edit.document() + ":" + edit.path();
			if (findings.stream().noneMatch((finding) -> overlap(finding.path(), path))) {
				findings.add(new ConfigFinding(ConfigSeverity.CHANGE, path,
						"written differently, no effect of its own on callers"));
			}
		}
		return findings;
	}

	private static Configuration configuration(ConfigDocuments documents, String site) {
		ConfigResult result = ConfigParser.parse(mergedAt(documents, site));
		// The empty documents of version 0 are not valid; entry hosts use no entries
		// then.
		return (result instanceof ConfigResult.Valid valid) ? valid.configuration()
				: ((ConfigResult.Valid) ConfigParser.parse(DEFAULTS)).configuration();
	}

	private static JsonObject mergedAt(ConfigDocuments documents, String site) {
		return ConfigMerge.merge(documents.base(), (site != null) ? documents.overlays().get(site) : null);
	}

	private static void addContradictions(String document, JsonObject json, List<ConfigFinding> findings) {
		JsonElement limits = json.get("limits");
		if (limits == null || !limits.isJsonObject()) {
			return;
		}
		JsonElement attempts = limits.getAsJsonObject().get("maxAttempts");
		JsonElement share = limits.getAsJsonObject().get("retryBudgetShare");
		// Reported only if one document states both: a site may switch retries off by
		// maxAttempts alone.
		if (isNumber(attempts) && isNumber(share) && attempts.getAsDouble() == 1 && share.getAsDouble() > 0) {
			findings.add(finding(ConfigSeverity.WARNING, document, "/limits/retryBudgetShare",
					"has no effect: maxAttempts 1 allows no retry"));
		}
	}

	private static boolean isNumber(JsonElement element) {
		return element != null && element.isJsonPrimitive() && element.getAsJsonPrimitive().isNumber();
	}

	private static void addVoidRemovals(String document, String path, JsonObject base, JsonObject overlay,
			List<ConfigFinding> findings) {
		overlay.entrySet().forEach((member) -> {
			String memberPath = path + "/" + ConfigMerge.escape(member.getKey());
			JsonElement inBase = base.get(member.getKey());
			if (member.getValue().isJsonNull() && inBase == null) {
				findings.add(finding(ConfigSeverity.WARNING, document, memberPath,
						"has no effect: the base has no such member to remove"));
			}
			else if (member.getValue().isJsonObject()) {
				JsonObject nested = (inBase != null && inBase.isJsonObject()) ? inBase.getAsJsonObject()
						: new JsonObject();
				addVoidRemovals(document, memberPath, nested, member.getValue().getAsJsonObject(), findings);
			}
		});
	}

	private static boolean isDefined(JsonObject document, String path) {
		return ConfigMerge.find(document, path) != null;
	}

	private static boolean overlap(String first, String second) {
		return first.equals(second) || first.startsWith(second.endsWith(":") ? second : second + "/")
				|| second.startsWith(first + "/");
	}

	private static String except(List<String> sites) {
		return sites.isEmpty() ? "" : " (not at " + String.join(", ", sites) + ")";
	}

	private static ConfigFinding finding(ConfigSeverity severity, String document, String path, String message) {
		return new ConfigFinding(severity, document + ":" + path, message);
	}

}
