package org.medlardrum.entry.internal.model;

import org.medlardrum.protocol.problem.Problem;

/**
 * Result of a model request after all its attempts.
 */
public sealed interface ExecutionResult {

	/**
	 * The answer is complete.
	 *
	 * @param reason {@code stop} or {@code length}
	 */
	record Completed(String reason) implements ExecutionResult {
	}

	/**
	 * The request failed.
	 *
	 * @param problem the problem to report
	 */
	record Failed(Problem problem) implements ExecutionResult {
	}

	/**
	 * The caller has gone.
	 */
	record Cut() implements ExecutionResult {
	}

}
