package org.medlardrum.standins.internal.load;

import java.util.Map;
import java.util.TreeMap;

import com.google.gson.JsonObject;
import org.HdrHistogram.Histogram;

/**
 * Counters and latency histograms of one group of requests. Thread-safe.
 */
final class GroupStats {

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double[] PERCENTILES = { 50, 95, 99 };

	private final Histogram latenciesUs = new Histogram(SIGNIFICANT_DIGITS);

	private final Histogram tokenGapsUs = new Histogram(SIGNIFICANT_DIGITS);

	private final Map<String, Long> refused = new TreeMap<>();

	private final Map<String, Long> unfinished = new TreeMap<>();

	private long sent;

	private long notSent;

	private long retried;

	private long complete;

	private long wrong;

	private long withinTarget;

	private long completedCost;

	synchronized void recordNotSent() {
		this.notSent++;
	}

	synchronized void recordSent() {
		this.sent++;
	}

	synchronized void recordTokenGap(long timeUs) {
		this.tokenGapsUs.recordValue(timeUs);
	}

	synchronized void recordResult(CallResult result, boolean retried, long latencyUs, boolean inTime, long cost) {
		if (retried) {
			this.retried++;
		}
		switch (result.outcome()) {
			case COMPLETE -> {
				this.complete++;
				this.latenciesUs.recordValue(latencyUs);
				this.completedCost += cost;
				if (inTime) {
					this.withinTarget++;
				}
			}
			case WRONG -> this.wrong++;
			case REFUSED -> this.refused.merge(result.detail() + "/ran=" + result.ran(), 1L, Long::sum);
			case INCOMPLETE -> this.unfinished.merge("cut-off/" + result.detail(), 1L, Long::sum);
			case FAILED -> this.unfinished.merge("no-response/" + result.detail(), 1L, Long::sum);
		}
	}

	synchronized JsonObject toJson() {
		JsonObject json = new JsonObject();
		json.addProperty("sent", this.sent);
		json.addProperty("notSent", this.notSent);
		json.addProperty("secondTries", this.retried);
		json.addProperty("whole", this.complete);
		json.addProperty("refused", sum(this.refused));
		json.add("refusedByType", counts(this.refused));
		json.addProperty("unfinished", sum(this.unfinished));
		json.add("unfinishedByReason", counts(this.unfinished));
		json.addProperty("wrong", this.wrong);
		json.addProperty("withinTarget", this.withinTarget);
		json.addProperty("withinTargetShareOfSent", fraction(this.withinTarget, this.sent));
		json.addProperty("withinTargetShareOfWhole", fraction(this.withinTarget, this.complete));
		json.addProperty("completedCost", this.completedCost);
		json.add("firstUs", percentiles(this.latenciesUs));
		json.add("betweenUs", percentiles(this.tokenGapsUs));
		return json;
	}

	private static double fraction(long part, long all) {
		return (all > 0) ? (double) part / all : 0;
	}

	private static long sum(Map<String, Long> counts) {
		return counts.values().stream().mapToLong(Long::longValue).sum();
	}

	private static JsonObject counts(Map<String, Long> counts) {
		JsonObject json = new JsonObject();
		counts.forEach(json::addProperty);
		return json;
	}

	private static JsonObject percentiles(Histogram histogram) {
		JsonObject json = new JsonObject();
		json.addProperty("count", histogram.getTotalCount());
		for (double percentile : PERCENTILES) {
			json.addProperty("p" + (int) percentile, histogram.getValueAtPercentile(percentile));
		}
		json.addProperty("max", histogram.getMaxValue());
		return json;
	}

}
