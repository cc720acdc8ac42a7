package org.medlardrum.standins;

import java.util.Locale;
import java.util.Map;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;

/**
 * Evaluates a load report and formats it as text.
 */
final class LoadReport {

	private LoadReport() {
	}

	static boolean isCorrect(JsonObject report, boolean allowUnfinished) {
		JsonObject total = report.getAsJsonObject("groups").getAsJsonObject("total");
		if (total != null
				&& (longValue(total, "wrong") > 0 || !allowUnfinished && longValue(total, "unfinished") > 0)) {
			return false;
		}
		// The check of the executions adds a total only if it found a contradiction.
		return !report.has("services") || !report.getAsJsonObject("services").has("total");
	}

	static String text(JsonObject report) {
		StringBuilder text = new StringBuilder();
		appendLine(text, "%-44s %7s %7s %7s %7s %6s %7s %8s %8s %8s %8s", "group", "sent", "whole", "refused", "unfin.",
				"wrong", "target", "first50", "first99", "betw50", "betw99");
		for (Map.Entry<String, JsonElement> group : report.getAsJsonObject("groups").entrySet()) {
			JsonObject values = group.getValue().getAsJsonObject();
			appendLine(text, "%-44s %7d %7d %7d %7d %6d %6.2f%% %8.1f %8.1f %8.1f %8.1f", group.getKey(),
					longValue(values, "sent"), longValue(values, "whole"), longValue(values, "refused"),
					longValue(values, "unfinished"), longValue(values, "wrong"),
					values.get("withinTargetShareOfSent").getAsDouble() * 100, ms(values, "firstUs", "p50"),
					ms(values, "firstUs", "p99"), ms(values, "betweenUs", "p50"), ms(values, "betweenUs", "p99"));
			appendDetails(text, values);
		}
		appendRates(text, report, "completedCostPerS", "completed tokens x layers per second");
		appendRates(text, report, "deliveredCostPerS", "delivered tokens x layers per second");
		if (report.has("services")) {
			appendLine(text, "services: %s", report.get("services"));
		}
		appendLine(text, "seed %s, elapsed %s ms; times in ms, first token counts from the intended start",
				report.get("seed"), report.get("elapsedMs"));
		appendSummary(text, report);
		return text.toString();
	}

	private static void appendSummary(StringBuilder text, JsonObject report) {
		JsonObject total = report.getAsJsonObject("groups").getAsJsonObject("total");
		JsonObject services = report.getAsJsonObject("services");
		JsonObject faults = (services != null) ? services.getAsJsonObject("total") : null;
		appendLine(text, "requests sent: %d", longValue(total, "sent"));
		appendLine(text, "answered whole: %d", longValue(total, "whole"));
		appendLine(text, "refused: %d", longValue(total, "refused"));
		appendLine(text, "cut off or without response: %d", longValue(total, "unfinished"));
		appendLine(text, "wrong answers: %d", longValue(total, "wrong"));
		appendLine(text, "duplicates: %d",
				(faults != null && faults.has("duplicates")) ? longValue(faults, "duplicates") : 0);
	}

	private static void appendDetails(StringBuilder text, JsonObject values) {
		for (String name : new String[] { "refusedByType", "unfinishedByReason" }) {
			if (!values.getAsJsonObject(name).isEmpty()) {
				appendLine(text, "    %s", values.get(name));
			}
		}
		if (longValue(values, "notSent") > 0) {
			appendLine(text, "    not sent, as too many were in flight: %d", longValue(values, "notSent"));
		}
	}

	private static void appendRates(StringBuilder text, JsonObject report, String name, String title) {
		appendLine(text, "%s", title);
		report.getAsJsonObject(name)
			.entrySet()
			.forEach((rate) -> appendLine(text, "    %-40s %12.1f", rate.getKey(), rate.getValue().getAsDouble()));
	}

	private static long longValue(JsonObject values, String name) {
		return values.get(name).getAsLong();
	}

	private static double ms(JsonObject values, String histogram, String percentile) {
		return values.getAsJsonObject(histogram).get(percentile).getAsLong() / 1000.0;
	}

	private static void appendLine(StringBuilder text, String format, Object... values) {
		text.append(String.format(Locale.ROOT, format, values)).append('\n');
	}

}
