package org.medlardrum.cli.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A line of an entry host's structured log.
 *
 * @param atMs time of day of the line, in Unix milliseconds
 * @param fields values by name
 */
record LogLine(long atMs, Map<String, String> fields) {

	private static final Pattern NAME_VALUE_PAIR = Pattern.compile("(\\w+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S+)");

	/**
	 * Parses a line. Text before the first {@code name=value} pair, such as a host name
	 * that a log collector adds, is ignored.
	 * @param text the line
	 * @return the parsed line, empty if the text is not a line of the structured log
	 */
	static Optional<LogLine> parse(String text) {
		Map<String, String> fields = new LinkedHashMap<>();
		Matcher matcher = NAME_VALUE_PAIR.matcher(text);
		while (matcher.find()) {
			fields.putIfAbsent(matcher.group(1), unquote(matcher.group(2)));
		}
		String time = fields.getOrDefault("t", "");
		if (!time.matches("\\d{1,18}") || !fields.containsKey("part") || !fields.containsKey("event")) {
			return Optional.empty();
		}
		return Optional.of(new LogLine(Long.parseLong(time), fields));
	}

	private static String unquote(String value) {
		if (!value.startsWith("\"")) {
			return value;
		}
		return value.substring(1, value.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
	}

	String get(String name) {
		return this.fields.getOrDefault(name, "");
	}

	/**
	 * Returns whether the line is about the context of requests: servers, store,
	 * configuration or process.
	 * @return {@code true} if the line is not about a single request
	 */
	boolean isContext() {
		return !this.fields.containsKey("id") && !get("part").equals("log");
	}

}
