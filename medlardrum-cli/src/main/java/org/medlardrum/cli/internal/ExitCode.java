package org.medlardrum.cli.internal;

/**
 * Exit codes of the command line.
 */
public enum ExitCode {

	/** The command succeeded. */
	OK(0, "done"),

	/** The input was refused, or the command failed. */
	FAILED(1, "refused or failed"),

	/** The command line is invalid. */
	USAGE(2, "invalid command line"),

	/** The platform's store or an entry host could not be reached. */
	UNREACHABLE(3, "store or entry host unreachable"),

	/** Another operator changed the same entries; nothing was written. */
	CONFLICT(4, "conflict with another operator's change"),

	/** The response to a change was lost; the change may have been accepted. */
	OUTCOME_UNKNOWN(5, "outcome unknown: the change may have been accepted");

	private final int code;

	private final String meaning;

	ExitCode(int code, String meaning) {
		this.code = code;
		this.meaning = meaning;
	}

	/**
	 * Returns the number that the process exits with.
	 * @return the exit code
	 */
	public int code() {
		return this.code;
	}

	/**
	 * Returns what the code means.
	 * @return a short text
	 */
	public String meaning() {
		return this.meaning;
	}

}
