package org.medlardrum.standins.internal.load;

/**
 * Result of one try.
 *
 * @param outcome how it ended
 * @param detail problem type, or the technical reason of a failure
 * @param ran member {@code ran} of the problem document, empty if missing
 * @param tokens tokens that arrived
 */
record CallResult(Outcome outcome, String detail, String ran, int tokens) {

	static CallResult complete(int tokens) {
		return new CallResult(Outcome.COMPLETE, "", "", tokens);
	}

	boolean isRetryable() {
		return this.outcome == Outcome.FAILED || this.outcome == Outcome.INCOMPLETE;
	}

}
