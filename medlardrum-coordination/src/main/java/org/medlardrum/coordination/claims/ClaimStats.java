package org.medlardrum.coordination.claims;

/**
 * Counters of a {@link ClaimLedger} since its start.
 *
 * @param claims claims decided by this host as writer
 * @param granted verdicts {@code GRANTED} among them
 * @param forwarded claims sent to another host
 * @param writes compare-and-swap calls to the store
 * @param conflicts calls that found another revision
 * @param lostAnswers calls whose answer was lost
 * @param pendingOutcomes outcomes waiting for another try
 * @param droppedOutcomes outcomes given up
 */
public record ClaimStats(long claims, long granted, long forwarded, long writes, long conflicts, long lostAnswers,
		long pendingOutcomes, long droppedOutcomes) {
}
