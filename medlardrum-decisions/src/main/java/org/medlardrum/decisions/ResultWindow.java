package org.medlardrum.decisions;

/**
 * Counts results over a sliding window of time, in ten steps.
 */
final class ResultWindow {

	private static final int STEPS = 10;

	private final long stepMs;

	private final long[] stepOf = new long[STEPS];

	private final int[] successes = new int[STEPS];

	private final int[] failures = new int[STEPS];

	ResultWindow(long windowMs) {
		this.stepMs = Math.max(1, windowMs / STEPS);
	}

	void add(boolean ok, long nowMs) {
		long step = nowMs / this.stepMs;
		int index = Math.floorMod(step, STEPS);
		if (this.stepOf[index] != step) {
			this.stepOf[index] = step;
			this.successes[index] = 0;
			this.failures[index] = 0;
		}
		this.successes[index] += (ok) ? 1 : 0;
		this.failures[index] += (ok) ? 0 : 1;
	}

	boolean exceeds(double errorRate, int minimumResults, long nowMs) {
		long oldestStep = nowMs / this.stepMs - STEPS + 1;
		int failed = 0;
		int total = 0;
		for (int i = 0; i < STEPS; i++) {
			if (this.stepOf[i] >= oldestStep) {
				failed += this.failures[i];
				total += this.failures[i] + this.successes[i];
			}
		}
		return total >= minimumResults && failed >= errorRate * total;
	}

	void clear() {
		for (int i = 0; i < STEPS; i++) {
			this.successes[i] = 0;
			this.failures[i] = 0;
		}
	}

}
