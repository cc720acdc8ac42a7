package org.medlardrum.standins.internal.load;

import java.util.Map;
import java.util.TreeMap;

import com.google.gson.JsonObject;
import org.HdrHistogram.Histogram;

/**
 * Statistics of one group of requests. Thread-safe.
 */
final class GroupStats {

	private static final int DIGITS = 3;

	private static final double[] PERCENTILES = { 50, 95, 99 };

	private final Histogram firstUs = new Histogram(DIGITS);

	private final Histogram betweenUs = new Histogram(DIGITS);

	private final Map<String, Long> refused = new TreeMap<>();

	private final Map<String, Long> unfinished = new TreeMap<>();

	private long sent;

	private long notSent;

	private long secondTries;

	private long whole;

	private long wrong;

	private long withinTarget;

	private long completedCost;

	synchronized void notSent() {
		this.notSent++;
	}

	synchronized void sent() {
		this.sent++;
	}

	synchronized void between(long timeUs) {
		this.betweenUs.recordValue(timeUs);
	}

	synchronized void ended(CallResult result, boolean secondTry, long firstTimeUs, boolean inTarget, long cost) {
		if (secondTry) {
			this.secondTries++;
		}
		switch (result.outcome()) {
			case WHOLE -> {
				this.whole++;
				this.firstUs.recordValue(firstTimeUs);
				this.completedCost += cost;
				if (inTarget) {
					this.withinTarget++;
				}
			}
			case WRONG -> this.wrong++;
			case REFUSED -> this.refused.merge(result.detail() + "/ran=" + result.ran(), 1L, Long::sum);
			case CUT_OFF -> this.unfinished.merge("cut-off/" + result.detail(), 1L, Long::sum);
			case FAILED -> this.unfinished.merge("no-response/" + result.detail(), 1L, Long::sum);
		}
	}

	synchronized JsonObject toJson() {
		JsonObject json = new JsonObject();
		json.addProperty("sent", this.sent);
		json.addProperty("notSent", this.notSent);
		json.addProperty("secondTries", this.secondTries);
		json.addProperty("whole", this.whole);
		json.addProperty("refused", sum(this.refused));
		json.add("refusedByType", counts(this.refused));
		json.addProperty("unfinished", sum(this.unfinished));
		json.add("unfinishedByReason", counts(this.unfinished));
		json.addProperty("wrong", this.wrong);
		json.addProperty("withinTarget", this.withinTarget);
		json.addProperty("withinTargetShareOfSent", share(this.withinTarget, this.sent));
		json.addProperty("withinTargetShareOfWhole", share(this.withinTarget, this.whole));
		json.addProperty("completedCost", this.completedCost);
		json.add("firstUs", percentiles(this.firstUs));
		json.add("betweenUs", percentiles(this.betweenUs));
		return json;
	}

	private static double share(long part, long all) {
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
