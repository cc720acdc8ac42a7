package org.medlardrum.entry.internal.model;

/**
 * Result of running a request on one chain.
 */
sealed interface AttemptResult {

	/**
	 * The answer is complete.
	 *
	 * @param reason {@code stop} or {@code length}
	 */
	record Completed(String reason) implements AttemptResult {
	}

	/**
	 * The attempt failed.
	 *
	 * @param server engine that failed or refused, empty when unknown
	 * @param code short technical reason
	 * @param mayHaveRun whether an engine may have run a part of it
	 * @param serverFault whether the failure counts against the engine
	 * @param crashSuspected whether the engine may have crashed
	 */
	record Failed(String server, String code, boolean mayHaveRun, boolean serverFault,
			boolean crashSuspected) implements AttemptResult {
	}

	/**
	 * The engines refuse the request itself, so that another chain would not help.
	 *
	 * @param detail text for the caller
	 */
	record Rejected(String detail) implements AttemptResult {
	}

	/**
	 * The caller has gone.
	 */
	record Cut() implements AttemptResult {
	}

}
