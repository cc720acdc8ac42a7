package org.medlardrum.coordination.claims;

/**
 * Counters of a {@link ClaimLedger} since its start.
 *
 * @param claims claims decided by this host as writer of their bucket
 * @param granted claims among them with the verdict {@code GRANTED}
 * @param forwarded claims sent to another host
 * @param writes compare-and-set calls to the store
 * @param conflicts writes that found another revision
 * @param lostAnswers compare-and-set calls whose response was lost
 * @param pendingOutcomes outcomes that wait for a retry
 * @param droppedOutcomes outcomes dropped because they were too old or too many were
 * pending
 */
public record ClaimStats(long claims, long granted, long forwarded, long writes, long conflicts, long lostAnswers,
		long pendingOutcomes, long droppedOutcomes) {
}
