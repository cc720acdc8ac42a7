package org.medlardrum.standins.internal.load;

/**
 * Result of one attempt.
 *
 * @param outcome outcome of the attempt
 * @param detail type of the problem document, or the cause of a failure
 * @param ran value of the member {@code ran} of the problem document, empty if missing
 * @param tokens number of tokens received
 */
record CallResult(Outcome outcome, String detail, String ran, int tokens) {

	static CallResult complete(int tokens) {
		return new CallResult(Outcome.COMPLETE, "", "", tokens);
	}

	boolean isRetryable() {
		return this.outcome == Outcome.FAILED || this.outcome == Outcome.INCOMPLETE;
	}

}
