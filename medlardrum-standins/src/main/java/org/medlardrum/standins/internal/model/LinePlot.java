package org.medlardrum.standins.internal.model;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Line plot of fractions from 0 to 1 over time, one line for each series, as an SVG
 * document without external references.
 *
 * @param title title of the plot
 * @param series values at equal time intervals, by name of the series
 */
record LinePlot(String title, Map<String, double[]> series) {

	private static final int WIDTH_PX = 900;

	private static final int HEIGHT_PX = 320;

	private static final int MARGIN_PX = 40;

	private static final int LINE_HEIGHT_PX = 16;

	private static final List<String> COLOURS = List.of("#999999", "#1f77b4", "#ff7f0e", "#9467bd", "#2ca02c",
			"#d62728");

	String svg() {
		StringBuilder svg = new StringBuilder();
		svg.append(String.format(Locale.ROOT,
				"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" "
						+ "font-size=\"12\">%n",
				WIDTH_PX, HEIGHT_PX + this.series.size() * LINE_HEIGHT_PX));
		appendText(svg, MARGIN_PX, LINE_HEIGHT_PX, "#000000", this.title);
		for (int tenth = 0; tenth <= 10; tenth += 2) {
			double y = y(tenth / 10.0);
			svg.append(String.format(Locale.ROOT,
					"<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#dddddd\"/>%n", MARGIN_PX, y,
					WIDTH_PX - MARGIN_PX, y));
			// The label is left of the line, with its baseline slightly below the line.
			appendText(svg, 8, y + 4, "#000000", String.format(Locale.ROOT, "%.1f", tenth / 10.0));
		}
		int seriesIndex = 0;
		for (Map.Entry<String, double[]> entry : this.series.entrySet()) {
			String colour = COLOURS.get(seriesIndex % COLOURS.size());
			appendLine(svg, entry.getValue(), colour);
			appendText(svg, MARGIN_PX, HEIGHT_PX + seriesIndex * LINE_HEIGHT_PX, colour, entry.getKey());
			seriesIndex++;
		}
		return svg.append("</svg>\n").toString();
	}

	private static void appendLine(StringBuilder svg, double[] values, String colour) {
		svg.append("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"").append(colour).append("\" points=\"");
		for (int i = 0; i < values.length; i++) {
			double x = MARGIN_PX + (double) i / Math.max(1, values.length - 1) * (WIDTH_PX - 2 * MARGIN_PX);
			svg.append(String.format(Locale.ROOT, "%.1f,%.1f ", x, y(values[i])));
		}
		svg.append("\"/>\n");
	}

	private static double y(double fraction) {
		return HEIGHT_PX - MARGIN_PX - fraction * (HEIGHT_PX - 2 * MARGIN_PX);
	}

	private static void appendText(StringBuilder svg, double x, double y, String colour, String text) {
		String escaped = text.replace("&", "&amp;").replace("<", "&lt;");
		svg.append(String.format(Locale.ROOT, "<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>%n", x, y, colour,
				escaped));
	}

}
