package org.medlardrum.decisions.admission;

import java.util.Arrays;

/**
 * Sums work over the last 3,000 ms, in steps of 100 ms.
 */
final class WorkWindow {

	static final long WINDOW_MS = 3000;

	private static final long STEP_MS = 100;

	private static final int STEPS = (int) (WINDOW_MS / STEP_MS);

	private final double[] workOfStep = new double[STEPS];

	private final int[] countOfStep = new int[STEPS];

	private long step = Long.MIN_VALUE;

	void add(double work, long nowMs) {
		advance(nowMs);
		int index = Math.floorMod(this.step, STEPS);
		this.workOfStep[index] += work;
		this.countOfStep[index]++;
	}

	double workPerS(long nowMs) {
		advance(nowMs);
		double sum = 0;
		for (double work : this.workOfStep) {
			sum += work;
		}
		return 1000 * sum / WINDOW_MS;
	}

	int count(long nowMs) {
		advance(nowMs);
		int sum = 0;
		for (int count : this.countOfStep) {
			sum += count;
		}
		return sum;
	}

	private void advance(long nowMs) {
		long current = Math.floorDiv(nowMs, STEP_MS);
		if (this.step == Long.MIN_VALUE || current - this.step >= STEPS) {
			Arrays.fill(this.workOfStep, 0);
			Arrays.fill(this.countOfStep, 0);
			this.step = current;
		}
		while (this.step < current) {
			this.step++;
			int index = Math.floorMod(this.step, STEPS);
			this.workOfStep[index] = 0;
			this.countOfStep[index] = 0;
		}
	}

}
