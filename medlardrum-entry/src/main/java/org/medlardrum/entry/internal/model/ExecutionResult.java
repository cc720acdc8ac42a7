package org.medlardrum.entry.internal.model;

import org.medlardrum.protocol.problem.Problem;

/**
 * Result of a model request after all its attempts.
 */
public sealed interface ExecutionResult {

	/**
	 * Generation completed.
	 *
	 * @param reason why generation ended, {@code stop} or {@code length}
	 */
	record Completed(String reason) implements ExecutionResult {
	}

	/**
	 * The request failed.
	 *
	 * @param problem the problem to send to the caller
	 */
	record Failed(Problem problem) implements ExecutionResult {
	}

	/**
	 * The caller disconnected. The outcome is counted as {@code cut}.
	 */
	record CallerDisconnected() implements ExecutionResult {
	}

}
