package org.medlardrum.standins.internal.model;

/**
 * What a caller got.
 *
 * @param kind kind of the request
 * @param zone availability zone of its entry host
 * @param organisation number of the organisation that sent it
 * @param arrivedMs time of its arrival
 * @param firstMs time to the first event, 0 if there was none
 * @param longestGapMs longest pause between two events
 * @param attempts chains that were asked
 * @param outcome how it ended
 */
record StreamResult(ExperimentFile.RequestKind kind, String zone, int organisation, double arrivedMs, double firstMs,
		double longestGapMs, int attempts, Outcome outcome) {

	/**
	 * Returns whether all events came on time.
	 * @return {@code true} for a whole stream within both targets
	 */
	boolean isOnTime() {
		return this.outcome == Outcome.COMPLETE && this.firstMs <= this.kind.targetMs()
				&& this.longestGapMs <= this.kind.gapTargetMs();
	}

	/**
	 * How a request ends.
	 */
	enum Outcome {

		/** All events were delivered. */
		COMPLETE,

		/** It was refused before its first event. */
		REFUSED,

		/** It was broken off, or was still running at the end of the experiment. */
		ABORTED

	}

}
