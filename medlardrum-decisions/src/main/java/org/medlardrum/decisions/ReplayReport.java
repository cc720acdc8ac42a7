package org.medlardrum.decisions;

import java.util.List;

/**
 * Result of replaying a trace.
 *
 * @param decisions decisions that were replayed
 * @param mismatches decisions whose outcome differs from the recorded one, and lines that
 * cannot be read
 */
public record ReplayReport(int decisions, List<Mismatch> mismatches) {

	public ReplayReport {
		mismatches = List.copyOf(mismatches);
	}

	/**
	 * A decision whose outcome differs from the recorded one.
	 *
	 * @param line number of the line, from 1
	 * @param expected recorded outcome
	 * @param actual replayed outcome, or the fault of the line
	 */
	public record Mismatch(int line, String expected, String actual) {
	}

}
