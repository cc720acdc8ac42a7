package org.medlardrum.coordination.claims;

/**
 * Settings of {@link ClaimLedger}.
 *
 * @param minWriteIntervalMs minimum time between two writes of one bucket. 64 buckets at
 * 250 ms make at most 256 writes/s
 * @param lingerMs time for which a bucket that was idle waits for further claims before
 * it writes the first one
 * @param verdictTimeoutMs maximum time for which a claim waits for its verdict
 * @param retryAfterMs time after which a caller may retry, sent while the store is
 * unavailable
 * @param retentionMs time for which a claim is kept after its last entry
 * @param cleanupIntervalMs time between two removals of expired segments
 * @param maxPendingOutcomes maximum number of outcomes kept for a retry during an outage
 * @param outcomeRetryMs retry interval for recording an outcome
 * @param maxOutcomeAgeMs time after which an outcome that is still not recorded is
 * dropped
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
