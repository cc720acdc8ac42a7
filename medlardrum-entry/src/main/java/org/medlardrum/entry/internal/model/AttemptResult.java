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
	 * The attempt failed. The cause determines the flags and whether a server is named:
	 * <ul>
	 * <li>An engine refused the request and is not at fault: neither {@code serverFault}
	 * nor {@code crashSuspected} is set. {@code mayHaveRun} is set only if the refusal
	 * came in a frame of the stream and the request may have run before it.</li>
	 * <li>The request did not run, for a reason that makes the engine count as
	 * unreachable: only {@code serverFault} is set.</li>
	 * <li>The engine's stream ended early, which a crash may have caused: all flags are
	 * set.</li>
	 * <li>An engine reported an error that is not a refusal: {@code serverFault} and
	 * {@code crashSuspected} are set, and {@code mayHaveRun} as for a refusal.</li>
	 * <li>The engine sent frames that cannot be used: {@code mayHaveRun} and
	 * {@code serverFault} are set.</li>
	 * <li>The attempt was silent and an engine has crashed, or the first engine's
	 * response was lost: the server is empty, and all engines of the chain are
	 * probed.</li>
	 * <li>The deadline of the request passed: the server is empty, and only
	 * {@code mayHaveRun} is set, if the request had been sent.</li>
	 * </ul>
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
	 * The attempt was silent and is ended for a successor, which has been planned and
	 * permitted.
	 *
	 * @param silentMs time since the last frame or the start
	 */
	record Replaced(long silentMs) implements AttemptResult {
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
