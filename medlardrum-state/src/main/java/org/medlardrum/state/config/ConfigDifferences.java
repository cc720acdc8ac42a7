package org.medlardrum.state.config;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Compares two merged configurations, defaults included.
 */
final class ConfigDifferences {

	/** Stands for an empty text in messages. */
	static final String NONE = "(none)";

	private static final String KIND = "kind";

	private final List<ConfigDifference> differences = new ArrayList<>();

	private ConfigDifferences() {
	}

	static List<ConfigDifference> between(Configuration before, Configuration after) {
		ConfigDifferences all = new ConfigDifferences();
		all.compare("models", before, after, Configuration::models);
		all.compare("pools", before, after, Configuration::pools);
		all.compare("organisations", before, after, Configuration::organisations);
		all.compare("routes", before, after, Configuration::routes);
		all.compare("ranks", before, after,
				(configuration) -> configuration.ranks()
					.entrySet()
					.stream()
					.collect(Collectors.toMap((entry) -> entry.getKey().wireName(), Map.Entry::getValue)));
		all.compareMembers("limits", "/limits", before.limits(), after.limits());
		all.compareLinks(linksByPair(before), linksByPair(after));
		all.compare("placements", before, after, Configuration::placements);
		all.compareMembers("weightStore", "/weightStore", before.weightStore(), after.weightStore());
		return all.differences;
	}

	private void compare(String section, Configuration before, Configuration after,
			Function<Configuration, Map<String, ? extends Record>> entries) {
		Map<String, ? extends Record> oldEntries = entries.apply(before);
		Map<String, ? extends Record> newEntries = entries.apply(after);
		for (String name : namesOf(oldEntries, newEntries)) {
			String path = "/" + section + "/" + ConfigMerge.escape(name);
			if (!newEntries.containsKey(name)) {
				add(path, "removed: " + ChangeEffects.ofRemoval(section));
			}
			else if (!oldEntries.containsKey(name)) {
				add(path, "added: " + ChangeEffects.ofAddition(newEntries.get(name)));
			}
			else {
				compareMembers(section, path, oldEntries.get(name), newEntries.get(name));
			}
		}
	}

	private void compareMembers(String section, String path, Record before, Record after) {
		Map<String, Object> oldValues = membersOf(before);
		Map<String, Object> newValues = membersOf(after);
		if (!Objects.equals(oldValues.get(KIND), newValues.get(KIND))) {
			// The members of another kind have other meanings, so they are not compared.
			oldValues = Map.of(KIND, oldValues.get(KIND));
		}
		oldValues.forEach((member, oldValue) -> {
			Object newValue = newValues.get(member);
			if (!oldValue.equals(newValue)) {
				add(path + "/" + member,
						ChangeEffects.ofMember(section, member, simplify(oldValue), simplify(newValue)));
			}
		});
	}

	private void compareLinks(Map<String, Long> before, Map<String, Long> after) {
		for (String pair : namesOf(before, after)) {
			Long oldUs = before.get(pair);
			Long newUs = after.get(pair);
			if (oldUs == null || !oldUs.equals(newUs)) {
				add("/links", pair + ": latencyUs " + ((oldUs != null) ? oldUs : "default") + " -> "
						+ ((newUs != null) ? newUs : "default") + ": chains between the zones are weighed differently");
			}
		}
	}

	private static Map<String, Long> linksByPair(Configuration configuration) {
		Map<String, Long> latencyUsByPair = new TreeMap<>();
		for (LinkConfig link : configuration.links()) {
			boolean ordered = link.from().compareTo(link.to()) <= 0;
			latencyUsByPair.put((ordered ? link.from() : link.to()) + " to " + (ordered ? link.to() : link.from()),
					link.latencyUs());
		}
		return latencyUsByPair;
	}

	private static Map<String, Object> membersOf(Record config) {
		Map<String, Object> members = new LinkedHashMap<>();
		for (RecordComponent component : config.getClass().getRecordComponents()) {
			try {
				members.put(component.getName(), component.getAccessor().invoke(config));
			}
			catch (ReflectiveOperationException ex) {
				throw new IllegalStateException("Cannot read member " + component.getName(), ex);
			}
		}
		return Collections.unmodifiableMap(members);
	}

	// Numbers without trailing zeros and names as in the documents.
	private static Object simplify(Object value) {
		return switch (value) {
			case Double number when number == Math.rint(number) -> Long.toString(Math.round(number));
			case Enum<?> name -> name.name().toLowerCase(Locale.ROOT);
			case String text when text.isEmpty() -> NONE;
			default -> value;
		};
	}

	private static Set<String> namesOf(Map<String, ?> first, Map<String, ?> second) {
		Set<String> names = new TreeSet<>(first.keySet());
		names.addAll(second.keySet());
		return names;
	}

	private void add(String path, String message) {
		this.differences.add(new ConfigDifference(path, message));
	}

}
