package org.medlardrum.entry.internal.model;

import org.medlardrum.protocol.problem.Problem;

/**
 * Result of a model request after all its attempts.
 */
public sealed interface RunResult {

	/**
	 * The answer is complete.
	 *
	 * @param reason {@code stop} or {@code length}
	 */
	record Completed(String reason) implements RunResult {
	}

	/**
	 * The request failed.
	 *
	 * @param problem the problem to report
	 */
	record Failed(Problem problem) implements RunResult {
	}

	/**
	 * The caller has gone.
	 */
	record Cut() implements RunResult {
	}

}
