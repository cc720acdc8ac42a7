package org.medlardrum.coordination.claims;

/**
 * Settings of {@link ClaimLedger}.
 *
 * @param minWriteIntervalMs shortest time between two writes of one bucket. 64 buckets at
 * 250 ms are at most 256 writes/s
 * @param lingerMs wait for further claims before the first write of a bucket that was
 * idle
 * @param verdictTimeoutMs longest time that a claim waits for its verdict
 * @param retryAfterMs retry time given while the store is unavailable
 * @param retentionMs time for which a claim is kept after its last entry
 * @param cleanupIntervalMs time between two removals of old segments
 * @param maxPendingOutcomes outcomes kept for another try during an outage
 * @param outcomeRetryMs pause before another try to record an outcome
 * @param maxOutcomeAgeMs time after which an unrecorded outcome is given up
 */
public record ClaimOptions(long minWriteIntervalMs, long lingerMs, long verdictTimeoutMs, long retryAfterMs,
		long retentionMs, long cleanupIntervalMs, int maxPendingOutcomes, long outcomeRetryMs, long maxOutcomeAgeMs) {

	/** Default settings. */
	public static final ClaimOptions DEFAULT = new ClaimOptions(250, 4, 3_000, 2_000, 86_400_000, 600_000, 4_096, 1_000,
			3_600_000);

	/**
	 * Returns these settings with another retention.
	 * @param retentionMs time for which a claim is kept
	 * @return the settings
	 */
	public ClaimOptions withRetentionMs(long retentionMs) {
		return new ClaimOptions(this.minWriteIntervalMs, this.lingerMs, this.verdictTimeoutMs, this.retryAfterMs,
				retentionMs, this.cleanupIntervalMs, this.maxPendingOutcomes, this.outcomeRetryMs,
				this.maxOutcomeAgeMs);
	}

}
