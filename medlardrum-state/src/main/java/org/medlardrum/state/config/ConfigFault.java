package org.medlardrum.state.config;

/**
 * A reason for which a configuration is refused.
 *
 * @param path document and JSON pointer (RFC 6901) of the member, for example
 * {@code base:/routes/report/rank} or {@code overlay:hr-central-1:/limits/maxAttempts};
 * without a document when a single merged document was checked
 * @param message what is wrong
 * @param acceptedValues what would be accepted, empty when there is nothing to choose
 * from
 */
public record ConfigFault(String path, String message, String acceptedValues) {

	/**
	 * Returns the fault as one line for operators.
	 * @return path, message and accepted values
	 */
	public String describe() {
		String accepted = (!this.acceptedValues.isEmpty()) ? " (accepted: " + this.acceptedValues + ")" : "";
		return this.path + ": " + this.message + accepted;
	}

}
