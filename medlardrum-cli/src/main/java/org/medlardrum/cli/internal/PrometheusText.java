package org.medlardrum.cli.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads samples from the Prometheus text format, version 0.0.4.
 */
final class PrometheusText {

	private static final Pattern SAMPLE_LINE = Pattern
		.compile("([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\\{(.*)})?[ \\t]+(\\S+)(?:[ \\t]+-?\\d+)?[ \\t]*");

	private static final Pattern LABEL = Pattern.compile("([a-zA-Z_][a-zA-Z0-9_]*)=\"((?:[^\"\\\\]|\\\\.)*)\"");

	private PrometheusText() {
	}

	/**
	 * Reads the samples of one metric.
	 * @param text the metrics in text format
	 * @param name name of the metric
	 * @return its samples; lines that are not samples are skipped
	 */
	static List<MetricSample> samplesOf(String text, String name) {
		List<MetricSample> samples = new ArrayList<>();
		for (String line : text.split("\n")) {
			if (!line.startsWith(name)) {
				continue;
			}
			Matcher matcher = SAMPLE_LINE.matcher(line.stripTrailing());
			if (matcher.matches() && matcher.group(1).equals(name)) {
				try {
					samples.add(new MetricSample(labels(matcher.group(2)), Double.parseDouble(matcher.group(3))));
				}
				catch (NumberFormatException ex) {
					// Skipped: not a number that Java parses, such as "+Inf". The
					// counters that are read here have no such values.
					continue;
				}
			}
		}
		return samples;
	}

	private static Map<String, String> labels(String text) {
		Map<String, String> labels = new HashMap<>();
		Matcher matcher = LABEL.matcher((text != null) ? text : "");
		while (matcher.find()) {
			labels.put(matcher.group(1), unescape(matcher.group(2)));
		}
		return labels;
	}

	private static String unescape(String value) {
		StringBuilder plain = new StringBuilder();
		for (int index = 0; index < value.length(); index++) {
			char character = value.charAt(index);
			if (character == '\\' && index + 1 < value.length()) {
				index++;
				character = (value.charAt(index) != 'n') ? value.charAt(index) : '\n';
			}
			plain.append(character);
		}
		return plain.toString();
	}

	/**
	 * A sample of a metric.
	 *
	 * @param labels labels by name
	 * @param value the value
	 */
	record MetricSample(Map<String, String> labels, double value) {

		String label(String name) {
			return this.labels.getOrDefault(name, "");
		}

	}

}
