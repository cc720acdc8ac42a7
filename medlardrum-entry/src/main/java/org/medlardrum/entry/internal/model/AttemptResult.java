package org.medlardrum.entry.internal.model;

/**
 * Result of one attempt to run a request on one chain. Its text form is written to the
 * traces.
 */
sealed interface AttemptResult {

	/**
	 * Generation completed.
	 *
	 * @param reason why generation ended, {@code stop} or {@code length}
	 */
	record Completed(String reason) implements AttemptResult {
	}

	/**
	 * The attempt failed.
	 *
	 * @param server engine that failed or refused, empty when it is unknown
	 * @param code short technical reason
	 * @param mayHaveRun whether an engine may have run a part of the request
	 * @param serverFault whether the failure counts as one of the engine, for its circuit
	 * breaker
	 * @param crashSuspected whether the engine may have crashed
	 */
	record Failed(String server, String code, boolean mayHaveRun, boolean serverFault,
			boolean crashSuspected) implements AttemptResult {
	}

	/**
	 * The engines reject the request itself, so that a retry on another chain would fail
	 * as well.
	 *
	 * @param detail text for the caller
	 */
	record Rejected(String detail) implements AttemptResult {
	}

	/**
	 * The caller disconnected. The outcome is counted as {@code cut}.
	 */
	record Cut() implements AttemptResult {
	}

}
