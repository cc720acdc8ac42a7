package org.medlardrum.state.config;

/**
 * A fault for which a configuration is rejected.
 *
 * @param path document and JSON pointer (RFC 6901) of the member, for example
 * {@code base:/routes/report/rank} or {@code overlay:hr-central-1:/limits/maxAttempts};
 * without the name of a document when a merged document was checked
 * @param message what is wrong
 * @param acceptedValues accepted values, empty when they cannot be listed
 */
public record ConfigFault(String path, String message, String acceptedValues) {

	/**
	 * Returns a description of the fault in one line, for operators.
	 * @return path, message and accepted values
	 */
	public String describe() {
		String accepted = (!this.acceptedValues.isEmpty()) ? " (accepted: " + this.acceptedValues + ")" : "";
		return this.path + ": " + this.message + accepted;
	}

}
