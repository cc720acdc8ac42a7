package org.medlardrum.cli.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.google.gson.Gson;
import com.google.gson.JsonObject;

/**
 * Burn rates and error budgets by rank and organisation.
 *
 * @param fromMs time of the first sample, in Unix milliseconds
 * @param toMs time of the last sample, in Unix milliseconds
 * @param windowsMin lengths of the windows, in minutes; each ends at the last sample
 * @param rows one row for each rank and each of its organisations
 */
record BurnReport(long fromMs, long toMs, List<Long> windowsMin, List<Row> rows) {

	private static final long MINUTE_MS = 60_000;

	/**
	 * Burn rates of the usual multi-window alerts: 14.4 consumes 2% of a 30-day budget in
	 * an hour, 6 consumes 5% of it in 6 hours. The burn rate must be reached in a short
	 * window as well, so that the alert ends soon after its cause.
	 */
	private static final double FAST_BURN_RATE = 14.4;

	private static final double SLOW_BURN_RATE = 6;

	static BurnReport of(BurnHistory history, Map<String, Double> objectives, List<Long> windowsMin, long budgetDays) {
		Map<BurnHistory.Series, BurnCount> budgetCounts = countsInWindow(history, budgetDays * 24 * 60);
		List<Row> rows = new ArrayList<>();
		Map<Long, Map<BurnHistory.Series, BurnCount>> counts = new LinkedHashMap<>();
		windowsMin.forEach((window) -> counts.put(window, countsInWindow(history, window)));
		List.of(5L, 30L, 60L, 360L)
			.forEach((window) -> counts.computeIfAbsent(window, (key) -> countsInWindow(history, key)));
		budgetCounts.forEach((series, count) -> {
			double objective = objectives.getOrDefault(series.rank(), 0.99);
			Map<Long, Double> burnRates = new LinkedHashMap<>();
			counts.forEach((window, windowCounts) -> burnRates.put(window,
					windowCounts.getOrDefault(series, BurnCount.NONE).burnRate(objective)));
			rows.add(new Row(series.rank(), series.organisation(), objective, count.total(), count.withinTarget(),
					1 - count.burnRate(objective), alert(burnRates), selectWindows(burnRates, windowsMin)));
		});
		return new BurnReport(history.startMs(), history.endMs(), windowsMin, rows);
	}

	private static Map<BurnHistory.Series, BurnCount> countsInWindow(BurnHistory history, long minutes) {
		return history.between(history.endMs() - minutes * MINUTE_MS, history.endMs());
	}

	private static Map<Long, Double> selectWindows(Map<Long, Double> burnRates, List<Long> windowsMin) {
		Map<Long, Double> selected = new LinkedHashMap<>();
		windowsMin.forEach((window) -> selected.put(window, burnRates.get(window)));
		return selected;
	}

	private static String alert(Map<Long, Double> burnRates) {
		if (burnRates.get(60L) >= FAST_BURN_RATE && burnRates.get(5L) >= FAST_BURN_RATE) {
			return "fast burn";
		}
		return (burnRates.get(360L) >= SLOW_BURN_RATE && burnRates.get(30L) >= SLOW_BURN_RATE) ? "slow burn" : "";
	}

	boolean covers(long windowMin) {
		return this.toMs - this.fromMs >= windowMin * MINUTE_MS;
	}

	JsonObject toJson() {
		return new Gson().toJsonTree(this).getAsJsonObject();
	}

	String toText() {
		List<List<String>> table = new ArrayList<>(List.of(header()));
		this.rows.forEach((row) -> table.add(cells(row)));
		return ResultFormat.table(table) + "\n* samples do not cover the whole window";
	}

	List<String> header() {
		List<String> header = new ArrayList<>(List.of("RANK", "ORGANISATION", "OBJECTIVE", "REQUESTS", "MET"));
		this.windowsMin.forEach((window) -> header.add("BURN " + duration(window) + (covers(window) ? "" : "*")));
		header.addAll(List.of("BUDGET LEFT", "ALERT"));
		return header;
	}

	List<String> cells(Row row) {
		List<String> cells = new ArrayList<>(
				List.of(row.rank(), row.organisation(), format("%.3f", row.objective()), format("%.0f", row.total()),
						(row.total() > 0) ? format("%.2f%%", 100 * row.withinTarget() / row.total()) : "-"));
		row.burnRates().values().forEach((burn) -> cells.add(format("%.2f", burn)));
		cells.add(format("%.1f%%", 100 * row.budgetLeft()));
		cells.add(row.alert());
		return cells;
	}

	static String duration(long minutes) {
		if (minutes % 1440 == 0) {
			return minutes / 1440 + "d";
		}
		return (minutes % 60 == 0) ? minutes / 60 + "h" : minutes + "m";
	}

	static String format(String pattern, double value) {
		return String.format(Locale.ROOT, pattern, value);
	}

	/**
	 * Figures of one rank, or of one organisation at one rank.
	 *
	 * @param rank rank
	 * @param organisation organisation, {@code (all)} for the whole rank
	 * @param objective fraction of requests that must meet the target
	 * @param total requests in the budget period
	 * @param withinTarget requests that met the target
	 * @param budgetLeft fraction of the error budget that is left, negative when it is
	 * exceeded
	 * @param alert {@code fast burn}, {@code slow burn} or empty
	 * @param burnRates burn rate by length of the window in minutes
	 */
	record Row(String rank, String organisation, double objective, double total, double withinTarget, double budgetLeft,
			String alert, Map<Long, Double> burnRates) {
	}

}
