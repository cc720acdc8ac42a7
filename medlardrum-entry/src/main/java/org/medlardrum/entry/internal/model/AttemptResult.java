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

		// The engine refused the request and is not at fault.
		static Failed refused(String server, String code) {
			return new Failed(server, code, false, false, false);
		}

		// The request did not run, for a reason that makes the engine count as
		// unreachable.
		static Failed unreachable(String server, String code) {
			return new Failed(server, code, false, true, false);
		}

		// The engine's stream ended early, which a crash may have caused.
		static Failed streamBroken(String server, String code) {
			return new Failed(server, code, true, true, true);
		}

		// The engine sent frames that cannot be used.
		static Failed invalidFrames(String server, String code) {
			return new Failed(server, code, true, true, false);
		}

		// No frame arrived in time, and it is unknown which engine failed.
		static Failed stalled(String code) {
			return new Failed("", code, true, false, false);
		}

		// The deadline of the request passed.
		static Failed timedOut(boolean mayHaveRun) {
			return new Failed("", "timed-out", mayHaveRun, false, false);
		}

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
