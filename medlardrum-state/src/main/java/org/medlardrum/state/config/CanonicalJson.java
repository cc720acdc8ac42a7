package org.medlardrum.state.config;

import java.math.BigDecimal;
import java.util.Map;
import java.util.TreeMap;

import com.google.gson.JsonElement;
import com.google.gson.JsonPrimitive;

/**
 * Writes the canonical form of JSON values, in which equal values have equal texts:
 * members sorted by name, no white space, numbers without trailing zeros.
 */
final class CanonicalJson {

	/**
	 * Largest scale of a number that is written without an exponent, which bounds the
	 * length of the text.
	 */
	private static final int MAX_PLAIN_SCALE = 20;

	private CanonicalJson() {
	}

	static String write(JsonElement element) {
		StringBuilder out = new StringBuilder();
		write(element, out);
		return out.toString();
	}

	private static void write(JsonElement element, StringBuilder out) {
		if (element.isJsonObject()) {
			writeObject(new TreeMap<>(element.getAsJsonObject().asMap()), out);
		}
		else if (element.isJsonArray()) {
			writeArray(element.getAsJsonArray(), out);
		}
		else if (element.isJsonPrimitive() && element.getAsJsonPrimitive().isNumber()) {
			out.append(number(element.getAsString()));
		}
		else {
			out.append(element);
		}
	}

	private static void writeObject(Map<String, JsonElement> members, StringBuilder out) {
		String separator = "{";
		for (Map.Entry<String, JsonElement> member : members.entrySet()) {
			out.append(separator).append(new JsonPrimitive(member.getKey())).append(':');
			write(member.getValue(), out);
			separator = ",";
		}
		out.append(members.isEmpty() ? "{}" : "}");
	}

	private static void writeArray(Iterable<JsonElement> elements, StringBuilder out) {
		out.append('[');
		String separator = "";
		for (JsonElement element : elements) {
			out.append(separator);
			write(element, out);
			separator = ",";
		}
		out.append(']');
	}

	private static String number(String text) {
		try {
			BigDecimal value = new BigDecimal(text);
			BigDecimal stripped = value.stripTrailingZeros();
			if (value.signum() == 0) {
				return "0";
			}
			return (Math.abs(stripped.scale()) <= MAX_PLAIN_SCALE) ? stripped.toPlainString() : stripped.toString();
		}
		catch (NumberFormatException ex) {
			// The exponent exceeds the range of BigDecimal; the original text still
			// denotes one value.
			return text;
		}
	}

}
