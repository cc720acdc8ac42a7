package org.medlardrum.decisions;

/**
 * Counts results over a sliding window of time, divided into ten buckets.
 */
final class ResultWindow {

	private static final int BUCKETS = 10;

	private final long bucketMs;

	private final long[] bucketNumbers = new long[BUCKETS];

	private final int[] successes = new int[BUCKETS];

	private final int[] failures = new int[BUCKETS];

	ResultWindow(long windowMs) {
		this.bucketMs = Math.max(1, windowMs / BUCKETS);
	}

	void add(boolean ok, long nowMs) {
		long bucketNumber = nowMs / this.bucketMs;
		int index = Math.floorMod(bucketNumber, BUCKETS);
		if (this.bucketNumbers[index] != bucketNumber) {
			this.bucketNumbers[index] = bucketNumber;
			this.successes[index] = 0;
			this.failures[index] = 0;
		}
		this.successes[index] += (ok) ? 1 : 0;
		this.failures[index] += (ok) ? 0 : 1;
	}

	// Returns whether the fraction of failures has reached the error rate; false while
	// the window has fewer than the minimum number of results.
	boolean reaches(double errorRate, int minimumResults, long nowMs) {
		long oldestBucketNumber = nowMs / this.bucketMs - BUCKETS + 1;
		int failed = 0;
		int total = 0;
		for (int i = 0; i < BUCKETS; i++) {
			if (this.bucketNumbers[i] >= oldestBucketNumber) {
				failed += this.failures[i];
				total += this.failures[i] + this.successes[i];
			}
		}
		return total >= minimumResults && failed >= errorRate * total;
	}

	void clear() {
		for (int i = 0; i < BUCKETS; i++) {
			this.successes[i] = 0;
			this.failures[i] = 0;
		}
	}

}
