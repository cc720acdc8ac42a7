package org.medlardrum.state.config;

/**
 * A finding on a valid configuration.
 *
 * @param severity kind of the finding
 * @param path document and JSON pointer (RFC 6901) of the member, for example
 * {@code base:/routes/report/rank}
 * @param message what was found and what it means for callers
 */
public record ConfigFinding(ConfigSeverity severity, String path, String message) {

	/**
	 * Returns a description of the finding in one line, for operators.
	 * @return path and message
	 */
	public String describe() {
		return this.path + ": " + this.message;
	}

}
