package org.medlardrum.standins;

import java.util.Locale;
import java.util.Map;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;

/**
 * Text form of a load report.
 */
final class LoadReport {

	private LoadReport() {
	}

	static boolean isCorrect(JsonObject report, boolean allowUnfinished) {
		JsonObject total = report.getAsJsonObject("groups").getAsJsonObject("total");
		if (total != null && (number(total, "wrong") > 0 || !allowUnfinished && number(total, "unfinished") > 0)) {
			return false;
		}
		// The audit has a total only if it found a fault.
		return !report.has("services") || !report.getAsJsonObject("services").has("total");
	}

	static String text(JsonObject report) {
		StringBuilder text = new StringBuilder();
		line(text, "%-44s %7s %7s %7s %7s %6s %7s %8s %8s %8s %8s", "group", "sent", "whole", "refused", "unfin.",
				"wrong", "target", "first50", "first99", "betw50", "betw99");
		for (Map.Entry<String, JsonElement> group : report.getAsJsonObject("groups").entrySet()) {
			JsonObject values = group.getValue().getAsJsonObject();
			line(text, "%-44s %7d %7d %7d %7d %6d %6.2f%% %8.1f %8.1f %8.1f %8.1f", group.getKey(),
					number(values, "sent"), number(values, "whole"), number(values, "refused"),
					number(values, "unfinished"), number(values, "wrong"),
					values.get("withinTargetShareOfSent").getAsDouble() * 100, ms(values, "firstUs", "p50"),
					ms(values, "firstUs", "p99"), ms(values, "betweenUs", "p50"), ms(values, "betweenUs", "p99"));
			details(text, values);
		}
		rates(text, report, "completedCostPerS", "completed tokens x layers per second");
		rates(text, report, "deliveredCostPerS", "delivered tokens x layers per second");
		if (report.has("services")) {
			line(text, "services: %s", report.get("services"));
		}
		line(text, "seed %s, elapsed %s ms; times in ms, first token counts from the intended start",
				report.get("seed"), report.get("elapsedMs"));
		summary(text, report);
		return text.toString();
	}

	private static void summary(StringBuilder text, JsonObject report) {
		JsonObject total = report.getAsJsonObject("groups").getAsJsonObject("total");
		JsonObject services = report.getAsJsonObject("services");
		JsonObject faults = (services != null) ? services.getAsJsonObject("total") : null;
		line(text, "requests sent: %d", number(total, "sent"));
		line(text, "answered whole: %d", number(total, "whole"));
		line(text, "refused: %d", number(total, "refused"));
		line(text, "cut off or without response: %d", number(total, "unfinished"));
		line(text, "wrong answers: %d", number(total, "wrong"));
		line(text, "duplicates: %d", (faults != null && faults.has("duplicates")) ? number(faults, "duplicates") : 0);
	}

	private static void details(StringBuilder text, JsonObject values) {
		for (String name : new String[] { "refusedByType", "unfinishedByReason" }) {
			if (!values.getAsJsonObject(name).isEmpty()) {
				line(text, "    %s", values.get(name));
			}
		}
		if (number(values, "notSent") > 0) {
			line(text, "    not sent, as too many were in flight: %d", number(values, "notSent"));
		}
	}

	private static void rates(StringBuilder text, JsonObject report, String name, String title) {
		line(text, "%s", title);
		report.getAsJsonObject(name)
			.entrySet()
			.forEach((rate) -> line(text, "    %-40s %12.1f", rate.getKey(), rate.getValue().getAsDouble()));
	}

	private static long number(JsonObject values, String name) {
		return values.get(name).getAsLong();
	}

	private static double ms(JsonObject values, String histogram, String percentile) {
		return values.getAsJsonObject(histogram).get(percentile).getAsLong() / 1000.0;
	}

	private static void line(StringBuilder text, String format, Object... values) {
		text.append(String.format(Locale.ROOT, format, values)).append('\n');
	}

}
