package org.medlardrum.cli.internal;

import java.time.Instant;
import java.util.List;
import java.util.Map;

/**
 * Writes a burn report as a self-contained HTML page without references to other files.
 */
final class BurnPage {

	private static final int WIDTH = 900;

	private static final int HEIGHT = 220;

	private static final int LEFT = 50;

	private static final int BUCKETS = 90;

	private static final int BAR_HEIGHT = 18;

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

	BurnPage(BurnReport report, BurnHistory history) {
		this.report = report;
		this.history = history;
	}

	String write() {
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
		table();
		this.page.append("<h2>Burn rate by rank over time</h2>");
		burnPlot();
		this.page.append("<h2>Error budget left</h2>");
		budgetPlot();
		return this.page.append("</body></html>\n").toString();
	}

	private void table() {
		this.page.append("<table><thead><tr>");
		this.report.header().forEach((cell) -> cell("th", cell));
		this.page.append("</tr></thead><tbody>");
		for (BurnReport.Row row : this.report.rows()) {
			String rank = row.organisation().equals(BurnHistory.ALL) ? "rank " : "";
			this.page.append("<tr class=\"").append(rank).append(row.alert().isEmpty() ? "" : "alert").append("\">");
			this.report.cells(row).forEach((cell) -> cell("td", cell));
			this.page.append("</tr>");
		}
		this.page.append("</tbody></table>");
	}

	private void burnPlot() {
		List<BurnReport.Row> ranks = this.report.rows()
			.stream()
			.filter((row) -> row.organisation().equals(BurnHistory.ALL))
			.toList();
		double[][] rates = new double[ranks.size()][BUCKETS];
		double top = 1.2;
		for (int rank = 0; rank < ranks.size(); rank++) {
			for (int bucket = 0; bucket < BUCKETS; bucket++) {
				rates[rank][bucket] = rate(ranks.get(rank), bucket);
				if (!Double.isNaN(rates[rank][bucket])) {
					top = Math.max(top, rates[rank][bucket] * 1.05);
				}
			}
		}
		open(HEIGHT + 30);
		line(y(1, top), "#999");
		text(4, y(1, top), "1");
		text(4, y(top, top) + 10, BurnReport.format("%.1f", top));
		for (int rank = 0; rank < ranks.size(); rank++) {
			StringBuilder points = new StringBuilder();
			for (int bucket = 0; bucket < BUCKETS; bucket++) {
				if (!Double.isNaN(rates[rank][bucket])) {
					points.append(LEFT + bucket * (WIDTH - LEFT) / BUCKETS)
						.append(',')
						.append(y(rates[rank][bucket], top))
						.append(' ');
				}
			}
			this.page.append("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"")
				.append(colour(ranks.get(rank).rank()))
				.append("\" points=\"")
				.append(points)
				.append("\"/>");
			this.page.append("<text x=\"").append(LEFT + 110 * rank).append("\" y=\"").append(HEIGHT + 20);
			this.page.append("\" fill=\"").append(colour(ranks.get(rank).rank())).append("\">");
			this.page.append(escape(ranks.get(rank).rank())).append("</text>");
		}
		this.page.append("</svg>");
	}

	// Returns NaN for a bucket without requests. Nothing is recorded between two samples,
	// and a rate of 0 there would show a recovery that did not happen.
	private double rate(BurnReport.Row row, int bucket) {
		long span = Math.max(1, this.report.toMs() - this.report.fromMs());
		long from = this.report.fromMs() + span * bucket / BUCKETS;
		long to = this.report.fromMs() + span * (bucket + 1) / BUCKETS;
		BurnCount count = this.history.between(from, to)
			.getOrDefault(new BurnHistory.Series(row.rank(), row.organisation()), BurnCount.NONE);
		return (count.total() > 0) ? count.burnRate(row.objective()) : Double.NaN;
	}

	private void budgetPlot() {
		int barsAt = 260;
		open(this.report.rows().size() * BAR_HEIGHT + 10);
		int top = 5;
		for (BurnReport.Row row : this.report.rows()) {
			double left = Math.max(0, Math.min(1, row.budgetLeft()));
			text(4, top + 13, row.rank() + " / " + row.organisation());
			this.page.append("<rect x=\"").append(barsAt).append("\" y=\"").append(top + 2).append("\" height=\"");
			this.page.append(BAR_HEIGHT - 4).append("\" width=\"").append(Math.round(left * (WIDTH - barsAt - 80)));
			this.page.append("\" fill=\"").append(colour(row.rank())).append("\"/>");
			text(WIDTH - 70, top + 13, BurnReport.format("%.1f%%", 100 * row.budgetLeft()));
			top += BAR_HEIGHT;
		}
		this.page.append("</svg>");
	}

	private void open(int height) {
		this.page.append("<svg role=\"img\" width=\"").append(WIDTH).append("\" height=\"").append(height);
		this.page.append("\" viewBox=\"0 0 ").append(WIDTH).append(' ').append(height).append("\">");
	}

	private void line(int y, String colour) {
		this.page.append("<line x1=\"").append(LEFT).append("\" x2=\"").append(WIDTH).append("\" y1=\"").append(y);
		this.page.append("\" y2=\"").append(y).append("\" stroke=\"").append(colour);
		this.page.append("\" stroke-dasharray=\"4\"/>");
	}

	private void text(int x, int y, String text) {
		this.page.append("<text x=\"").append(x).append("\" y=\"").append(y).append("\">");
		this.page.append(escape(text)).append("</text>");
	}

	private void cell(String tag, String text) {
		this.page.append('<').append(tag).append('>').append(escape(text)).append("</").append(tag).append('>');
	}

	private static int y(double value, double top) {
		return (int) Math.round(HEIGHT - 5 - (HEIGHT - 10) * Math.min(1, value / top));
	}

	private static String colour(String rank) {
		return COLOURS.getOrDefault(rank, "#555");
	}

	private static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
	}

}
