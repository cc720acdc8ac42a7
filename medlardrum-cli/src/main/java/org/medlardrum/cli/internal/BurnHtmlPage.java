package org.medlardrum.cli.internal;

import java.time.Instant;
import java.util.List;
import java.util.Map;

/**
 * Writes a burn report as a self-contained HTML page without references to other files.
 */
final class BurnHtmlPage {

	private static final int WIDTH_PX = 900;

	private static final int PLOT_HEIGHT_PX = 220;

	private static final int PLOT_LEFT_PX = 50;

	private static final int BUCKET_COUNT = 90;

	private static final int BAR_HEIGHT_PX = 18;

	private static final Map<String, String> COLOURS = Map.of("urgent", "#b3261e", "standard", "#1a5fb4", "background",
			"#4d7c0f");

	private static final String STYLE = """
			body{font:14px sans-serif;margin:2em;max-width:70em;color:#1b1b1b}
			table{border-collapse:collapse}
			td,th{padding:.25em .7em;border-bottom:1px solid #ddd;text-align:right}
			td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}
			tr.alert{background:#fde7e7} tr.rank{font-weight:bold}
			svg{background:#fafafa;border:1px solid #ddd} svg text{font-size:11px}
			""";

	private final BurnReport report;

	private final BurnHistory history;

	private final StringBuilder page = new StringBuilder();

	BurnHtmlPage(BurnReport report, BurnHistory history) {
		this.report = report;
		this.history = history;
	}

	String toHtml() {
		this.page
			.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>")
			.append("<style>")
			.append(STYLE)
			.append("</style></head><body><h1>Service-level burn</h1><p>Samples from ")
			.append(Instant.ofEpochMilli(this.report.fromMs()))
			.append(" to ")
			.append(Instant.ofEpochMilli(this.report.toMs()))
			.append(". A burn rate of 1 uses up exactly the error budget. Refused, failed and cut requests count as")
			.append(" missed. * marks windows that the samples do not cover.</p>");
		appendTable();
		this.page.append("<h2>Burn rate by rank over time</h2>");
		appendBurnPlot();
		this.page.append("<h2>Error budget left</h2>");
		appendBudgetPlot();
		return this.page.append("</body></html>\n").toString();
	}

	private void appendTable() {
		this.page.append("<table><thead><tr>");
		this.report.header().forEach((cell) -> appendCell("th", cell));
		this.page.append("</tr></thead><tbody>");
		for (BurnReport.Row row : this.report.rows()) {
			String rank = row.organisation().equals(BurnHistory.ALL_ORGANISATIONS) ? "rank " : "";
			this.page.append("<tr class=\"").append(rank).append(row.alert().isEmpty() ? "" : "alert").append("\">");
			this.report.cells(row).forEach((cell) -> appendCell("td", cell));
			this.page.append("</tr>");
		}
		this.page.append("</tbody></table>");
	}

	private void appendBurnPlot() {
		List<BurnReport.Row> ranks = this.report.rows()
			.stream()
			.filter((row) -> row.organisation().equals(BurnHistory.ALL_ORGANISATIONS))
			.toList();
		double[][] rates = new double[ranks.size()][BUCKET_COUNT];
		double maxRate = 1.2;
		for (int rank = 0; rank < ranks.size(); rank++) {
			for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
				rates[rank][bucket] = burnRate(ranks.get(rank), bucket);
				if (!Double.isNaN(rates[rank][bucket])) {
					maxRate = Math.max(maxRate, rates[rank][bucket] * 1.05);
				}
			}
		}
		openSvg(PLOT_HEIGHT_PX + 30);
		appendLine(toY(1, maxRate), "#999");
		appendText(4, toY(1, maxRate), "1");
		appendText(4, toY(maxRate, maxRate) + 10, BurnReport.format("%.1f", maxRate));
		for (int rank = 0; rank < ranks.size(); rank++) {
			StringBuilder points = new StringBuilder();
			for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
				if (!Double.isNaN(rates[rank][bucket])) {
					points.append(PLOT_LEFT_PX + bucket * (WIDTH_PX - PLOT_LEFT_PX) / BUCKET_COUNT)
						.append(',')
						.append(toY(rates[rank][bucket], maxRate))
						.append(' ');
				}
			}
			this.page.append("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"")
				.append(colour(ranks.get(rank).rank()))
				.append("\" points=\"")
				.append(points)
				.append("\"/>");
			this.page.append("<text x=\"")
				.append(PLOT_LEFT_PX + 110 * rank)
				.append("\" y=\"")
				.append(PLOT_HEIGHT_PX + 20);
			this.page.append("\" fill=\"").append(colour(ranks.get(rank).rank())).append("\">");
			this.page.append(escape(ranks.get(rank).rank())).append("</text>");
		}
		this.page.append("</svg>");
	}

	// Returns NaN for a bucket without requests. Nothing is recorded between two samples,
	// and a rate of 0 there would show a recovery that did not happen.
	private double burnRate(BurnReport.Row row, int bucket) {
		long spanMs = Math.max(1, this.report.toMs() - this.report.fromMs());
		long fromMs = this.report.fromMs() + spanMs * bucket / BUCKET_COUNT;
		long toMs = this.report.fromMs() + spanMs * (bucket + 1) / BUCKET_COUNT;
		BurnCount count = this.history.between(fromMs, toMs)
			.getOrDefault(new BurnHistory.Series(row.rank(), row.organisation()), BurnCount.NONE);
		return (count.total() > 0) ? count.burnRate(row.objective()) : Double.NaN;
	}

	private void appendBudgetPlot() {
		int barsLeftPx = 260;
		openSvg(this.report.rows().size() * BAR_HEIGHT_PX + 10);
		int rowTopPx = 5;
		for (BurnReport.Row row : this.report.rows()) {
			double shownFraction = Math.max(0, Math.min(1, row.budgetLeft()));
			appendText(4, rowTopPx + 13, row.rank() + " / " + row.organisation());
			this.page.append("<rect x=\"")
				.append(barsLeftPx)
				.append("\" y=\"")
				.append(rowTopPx + 2)
				.append("\" height=\"");
			this.page.append(BAR_HEIGHT_PX - 4)
				.append("\" width=\"")
				.append(Math.round(shownFraction * (WIDTH_PX - barsLeftPx - 80)));
			this.page.append("\" fill=\"").append(colour(row.rank())).append("\"/>");
			appendText(WIDTH_PX - 70, rowTopPx + 13, BurnReport.format("%.1f%%", 100 * row.budgetLeft()));
			rowTopPx += BAR_HEIGHT_PX;
		}
		this.page.append("</svg>");
	}

	private void openSvg(int height) {
		this.page.append("<svg role=\"img\" width=\"").append(WIDTH_PX).append("\" height=\"").append(height);
		this.page.append("\" viewBox=\"0 0 ").append(WIDTH_PX).append(' ').append(height).append("\">");
	}

	private void appendLine(int y, String colour) {
		this.page.append("<line x1=\"")
			.append(PLOT_LEFT_PX)
			.append("\" x2=\"")
			.append(WIDTH_PX)
			.append("\" y1=\"")
			.append(y);
		this.page.append("\" y2=\"").append(y).append("\" stroke=\"").append(colour);
		this.page.append("\" stroke-dasharray=\"4\"/>");
	}

	private void appendText(int x, int y, String text) {
		this.page.append("<text x=\"").append(x).append("\" y=\"").append(y).append("\">");
		this.page.append(escape(text)).append("</text>");
	}

	private void appendCell(String tag, String text) {
		this.page.append('<').append(tag).append('>').append(escape(text)).append("</").append(tag).append('>');
	}

	private static int toY(double value, double maxValue) {
		return (int) Math.round(PLOT_HEIGHT_PX - 5 - (PLOT_HEIGHT_PX - 10) * Math.min(1, value / maxValue));
	}

	private static String colour(String rank) {
		return COLOURS.getOrDefault(rank, "#555");
	}

	private static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
	}

}
