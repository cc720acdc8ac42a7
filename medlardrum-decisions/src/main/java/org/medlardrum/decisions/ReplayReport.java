package org.medlardrum.decisions;

import java.util.List;

/**
 * Result of replaying a trace.
 *
 * @param decisions number of decisions that were replayed
 * @param mismatches decisions whose outcome differs from the recorded one, and lines that
 * cannot be read or replayed
 */
public record ReplayReport(int decisions, List<Mismatch> mismatches) {

	public ReplayReport {
		mismatches = List.copyOf(mismatches);
	}

	/**
	 * A decision whose outcome differs from the recorded one, or a line that cannot be
	 * read or replayed.
	 *
	 * @param line line number, from 1
	 * @param expected recorded outcome, or the line that cannot be read or replayed
	 * @param actual replayed outcome, or the error for the line
	 */
	public record Mismatch(int line, String expected, String actual) {
	}

}
