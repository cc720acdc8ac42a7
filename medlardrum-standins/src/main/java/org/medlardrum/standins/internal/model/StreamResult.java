package org.medlardrum.standins.internal.model;

/**
 * Result of a streamed request as its caller sees it.
 *
 * @param kind kind of the request
 * @param zone availability zone of its entry host
 * @param organisation number of the organisation that sent it
 * @param arrivedAtMs time of its arrival, in milliseconds
 * @param timeToFirstEventMs time to the first event, in milliseconds; 0 if there was none
 * @param longestGapMs longest gap between two events, in milliseconds
 * @param attempts number of chains that the request was sent to
 * @param outcome outcome of the request
 */
record StreamResult(ExperimentFile.RequestKind kind, String zone, int organisation, double arrivedAtMs,
		double timeToFirstEventMs, double longestGapMs, int attempts, Outcome outcome) {

	/**
	 * Returns whether all events arrived on time.
	 * @return {@code true} for a complete stream within both targets
	 */
	boolean isOnTime() {
		return this.outcome == Outcome.COMPLETE && this.timeToFirstEventMs <= this.kind.targetMs()
				&& this.longestGapMs <= this.kind.gapTargetMs();
	}

	/**
	 * Outcome of a request.
	 */
	enum Outcome {

		/** All events were delivered. */
		COMPLETE,

		/** The request was refused before its first event. */
		REFUSED,

		/** The request was aborted, or was unfinished at the end of the experiment. */
		ABORTED

	}

}
