package org.medlardrum.decisions.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Sums a rate that other hosts report. A report is used for 3,000 ms.
 */
final class PeerRates {

	// Reports are looked through at most this often; a decision reads the sum many times.
	private static final long PURGE_INTERVAL_MS = 100;

	private final Map<String, Report> reports = new HashMap<>();

	private double sumPerS;

	// Monotonic clocks may be negative.
	private long purgedAtMs = Long.MIN_VALUE / 2;

	void update(String host, double workPerS, long nowMs) {
		// A report that is not a rate must not spoil the sum of the others.
		double validPerS = (workPerS > 0 && Double.isFinite(workPerS)) ? workPerS : 0;
		Report former = this.reports.put(host, new Report(validPerS, nowMs));
		this.sumPerS += validPerS - ((former != null) ? former.workPerS() : 0);
	}

	double workPerS(long nowMs) {
		if (nowMs - this.purgedAtMs >= PURGE_INTERVAL_MS) {
			this.purgedAtMs = nowMs;
			this.reports.values().removeIf((report) -> nowMs - report.receivedAtMs() > WorkWindow.WINDOW_MS);
			this.sumPerS = 0;
			for (Report report : this.reports.values()) {
				this.sumPerS += report.workPerS();
			}
		}
		return this.sumPerS;
	}

	int hosts() {
		return this.reports.size();
	}

	private record Report(double workPerS, long receivedAtMs) {
	}

}
