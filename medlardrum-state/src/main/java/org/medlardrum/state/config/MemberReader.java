package org.medlardrum.state.config;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;

/**
 * Reads the members of one JSON object and collects faults, including unknown members.
 * After a fault it returns a placeholder, so that reading continues and all faults are
 * reported together.
 */
final class MemberReader {

	private final String path;

	private final JsonObject json;

	private final List<ConfigFault> faults;

	private final Set<String> readNames = new TreeSet<>();

	MemberReader(String path, JsonObject json, List<ConfigFault> faults) {
		this.path = path;
		this.json = json;
		this.faults = faults;
	}

	void fault(String name, String message, String acceptedValues) {
		this.faults.add(new ConfigFault(pathOf(name), message, acceptedValues));
	}

	String pathOf(String name) {
		return this.path + "/" + ConfigMerge.escape(name);
	}

	boolean has(String name) {
		return this.json.has(name);
	}

	/**
	 * Reads a string.
	 * @param name name of the member
	 * @param defaultValue value when absent, {@code null} when the member is required
	 * @return the value
	 */
	String text(String name, String defaultValue) {
		JsonElement element = member(name, defaultValue == null);
		if (element == null) {
			return (defaultValue != null) ? defaultValue : "";
		}
		if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isString()) {
			fault(name, "is " + kindOf(element), "a string");
			return "";
		}
		if (defaultValue == null && element.getAsString().isEmpty()) {
			fault(name, "is empty", "a string with at least one character");
		}
		return element.getAsString();
	}

	/**
	 * Reads a whole number.
	 * @param name name of the member
	 * @param defaultValue value when absent, {@code null} when the member is required
	 * @param min minimum accepted value
	 * @param max maximum accepted value
	 * @return the value, at least {@code min}
	 */
	long wholeNumber(String name, Long defaultValue, long min, long max) {
		String accepted = "a whole number from " + min + " to " + max;
		BigDecimal value = decimal(name, defaultValue == null, accepted);
		if (value == null) {
			return (defaultValue != null) ? defaultValue : min;
		}
		try {
			long whole = value.longValueExact();
			if (whole >= min && whole <= max) {
				return whole;
			}
		}
		catch (ArithmeticException ex) {
			// The value has a fraction or exceeds a long. It is reported below like a
			// value out of range.
		}
		fault(name, "is " + shorten(value), accepted);
		return min;
	}

	/**
	 * Reads a number.
	 * @param name name of the member
	 * @param defaultValue value when absent
	 * @param min minimum accepted value
	 * @param max maximum accepted value
	 * @return the value
	 */
	double number(String name, double defaultValue, double min, double max) {
		String accepted = "a number from " + shorten(BigDecimal.valueOf(min)) + " to "
				+ shorten(BigDecimal.valueOf(max));
		BigDecimal value = decimal(name, false, accepted);
		if (value == null) {
			return defaultValue;
		}
		if (value.compareTo(BigDecimal.valueOf(min)) < 0 || value.compareTo(BigDecimal.valueOf(max)) > 0) {
			fault(name, "is " + shorten(value), accepted);
			return defaultValue;
		}
		return value.doubleValue();
	}

	boolean flag(String name, boolean defaultValue) {
		JsonElement element = member(name, false);
		if (element == null) {
			return defaultValue;
		}
		if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isBoolean()) {
			fault(name, "is " + kindOf(element), "true or false");
			return defaultValue;
		}
		return element.getAsBoolean();
	}

	/**
	 * Reads one of several names.
	 * @param <E> type of the values
	 * @param name name of the member
	 * @param choices values by name
	 * @param defaultName name of the value when absent, {@code null} when the member is
	 * required
	 * @return the value, {@code null} after a fault
	 */
	<E> E choice(String name, Map<String, E> choices, String defaultName) {
		if (!this.json.has(name) && defaultName == null) {
			this.readNames.add(name);
			fault(name, "is missing", String.join(", ", choices.keySet()));
			return null;
		}
		int faultsBefore = this.faults.size();
		String value = text(name, defaultName);
		if (this.faults.size() == faultsBefore && !choices.containsKey(value)) {
			fault(name, "is '" + value + "'", String.join(", ", choices.keySet()));
		}
		return choices.get(value);
	}

	List<String> texts(String name, List<String> defaultValue) {
		JsonElement element = member(name, defaultValue == null);
		if (element == null) {
			return (defaultValue != null) ? defaultValue : List.of();
		}
		if (!element.isJsonArray()) {
			fault(name, "is " + kindOf(element), "a list of strings");
			return List.of();
		}
		List<String> values = new ArrayList<>();
		for (JsonElement item : element.getAsJsonArray()) {
			if (item.isJsonPrimitive() && item.getAsJsonPrimitive().isString()) {
				values.add(item.getAsString());
			}
			else {
				fault(name, "contains " + kindOf(item), "a list of strings");
			}
		}
		return List.copyOf(values);
	}

	/**
	 * Reads a member that holds objects by name, such as {@code routes}.
	 * @param name name of the member
	 * @return a reader for each entry, in the order of the document
	 */
	Map<String, MemberReader> entries(String name) {
		Map<String, MemberReader> readers = new LinkedHashMap<>();
		JsonElement element = member(name, false);
		if (element != null && !element.isJsonObject()) {
			fault(name, "is " + kindOf(element), "an object of named entries");
		}
		else if (element != null) {
			element.getAsJsonObject().entrySet().forEach((entry) -> {
				String entryPath = pathOf(name) + "/" + ConfigMerge.escape(entry.getKey());
				addReader(readers, entry.getKey(), entryPath, entry.getValue());
			});
		}
		return readers;
	}

	/**
	 * Reads a member that holds a list of objects.
	 * @param name name of the member
	 * @return a reader for each item
	 */
	Collection<MemberReader> items(String name) {
		Map<String, MemberReader> readers = new LinkedHashMap<>();
		JsonElement element = member(name, false);
		if (element != null && !element.isJsonArray()) {
			fault(name, "is " + kindOf(element), "a list of objects");
		}
		else if (element != null) {
			for (JsonElement item : element.getAsJsonArray()) {
				String key = Integer.toString(readers.size());
				addReader(readers, key, pathOf(name) + "/" + key, item);
			}
		}
		return readers.values();
	}

	/**
	 * Reads a member that holds one object with settings.
	 * @param name name of the member
	 * @return a reader of the object, or of an empty object when the member is absent
	 */
	MemberReader object(String name) {
		JsonElement element = member(name, false);
		if (element != null && !element.isJsonObject()) {
			fault(name, "is " + kindOf(element), "an object");
			element = null;
		}
		return new MemberReader(pathOf(name), (element != null) ? element.getAsJsonObject() : new JsonObject(),
				this.faults);
	}

	/**
	 * Reports the members that were not read as unknown.
	 */
	void reportUnknownMembers() {
		for (String name : this.json.keySet()) {
			if (!this.readNames.contains(name)) {
				fault(name, "is not a known member", String.join(", ", this.readNames));
			}
		}
	}

	private void addReader(Map<String, MemberReader> readers, String key, String entryPath, JsonElement value) {
		if (value.isJsonObject()) {
			readers.put(key, new MemberReader(entryPath, value.getAsJsonObject(), this.faults));
		}
		else {
			this.faults.add(new ConfigFault(entryPath, "is " + kindOf(value), "an object"));
		}
	}

	private BigDecimal decimal(String name, boolean required, String accepted) {
		JsonElement element = member(name, required);
		if (element == null) {
			return null;
		}
		if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isNumber()) {
			fault(name, "is " + kindOf(element), accepted);
			return null;
		}
		try {
			return element.getAsBigDecimal();
		}
		catch (NumberFormatException ex) {
			fault(name, "is " + kindOf(element), accepted);
			return null;
		}
	}

	private JsonElement member(String name, boolean required) {
		this.readNames.add(name);
		JsonElement element = this.json.get(name);
		if (element == null && required) {
			fault(name, "is missing", "");
		}
		return element;
	}

	private static String kindOf(JsonElement element) {
		if (element.isJsonPrimitive()) {
			String kind = element.getAsJsonPrimitive().isString() ? "the string "
					: element.getAsJsonPrimitive().isNumber() ? "the number " : "the value ";
			String text = element.toString();
			return kind + ((text.length() > 40) ? text.substring(0, 40) + "..." : text);
		}
		return element.isJsonObject() ? "an object" : element.isJsonArray() ? "a list" : "null";
	}

	private static String shorten(BigDecimal value) {
		BigDecimal stripped = value.stripTrailingZeros();
		return (Math.abs(stripped.scale()) > 20) ? stripped.toString() : stripped.toPlainString();
	}

}
