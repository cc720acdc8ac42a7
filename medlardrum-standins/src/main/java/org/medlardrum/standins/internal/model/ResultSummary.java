package org.medlardrum.standins.internal.model;

import java.util.List;
import java.util.Locale;

import org.medlardrum.standins.internal.model.StreamResult.Outcome;

/**
 * Summary of the results of a group of requests.
 *
 * @param requests number of requests
 * @param onTime number of requests whose events all arrived on time
 * @param refused number of requests refused before their first event
 * @param aborted number of requests aborted after their first event, or unfinished at the
 * end of the experiment
 * @param timesToFirstEventMs times to the first event, in milliseconds, sorted
 * @param longestGapsMs longest gap between two events of each complete stream, in
 * milliseconds, sorted
 */
record ResultSummary(int requests, int onTime, int refused, int aborted, double[] timesToFirstEventMs,
		double[] longestGapsMs) {

	private static final double MEDIAN = 0.5;

	private static final double P99 = 0.99;

	static ResultSummary of(List<StreamResult> streams) {
		double[] timesToFirstEventMs = streams.stream()
			.filter((stream) -> stream.timeToFirstEventMs() > 0)
			.mapToDouble(StreamResult::timeToFirstEventMs)
			.sorted()
			.toArray();
		double[] longestGapsMs = streams.stream()
			.filter((stream) -> stream.outcome() == Outcome.COMPLETE)
			.mapToDouble(StreamResult::longestGapMs)
			.sorted()
			.toArray();
		return new ResultSummary(streams.size(), (int) streams.stream().filter(StreamResult::isOnTime).count(),
				count(streams, Outcome.REFUSED), count(streams, Outcome.ABORTED), timesToFirstEventMs, longestGapsMs);
	}

	private static int count(List<StreamResult> streams, Outcome outcome) {
		return (int) streams.stream().filter((stream) -> stream.outcome() == outcome).count();
	}

	double onTimeFraction() {
		return (this.requests > 0) ? (double) this.onTime / this.requests : 1;
	}

	static String header(String title) {
		return String.format(Locale.ROOT, "%-32s %6s %8s %6s %8s %7s %9s %9s %10s %10s", title, "asked", "on-time",
				"late", "refused", "broken", "first-p50", "first-p99", "pause-p50", "pause-p99");
	}

	String line(String name) {
		return String.format(Locale.ROOT, "%-32s %6d %8.3f %6d %8d %7d %9.0f %9.0f %10.0f %10.0f", name, this.requests,
				onTimeFraction(), this.requests - this.onTime - this.refused - this.aborted, this.refused, this.aborted,
				quantile(this.timesToFirstEventMs, MEDIAN), quantile(this.timesToFirstEventMs, P99),
				quantile(this.longestGapsMs, MEDIAN), quantile(this.longestGapsMs, P99));
	}

	private static double quantile(double[] ordered, double fraction) {
		return (ordered.length > 0) ? ordered[(int) Math.min(ordered.length - 1, fraction * ordered.length)] : 0;
	}

}
