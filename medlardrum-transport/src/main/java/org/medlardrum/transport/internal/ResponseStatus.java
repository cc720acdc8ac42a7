package org.medlardrum.transport.internal;

/**
 * Status codes of responses. The HTTP library accepts any code of three digits from 100
 * on.
 */
public final class ResponseStatus {

	private static final int LOWEST_FINAL = 200;

	private static final int HIGHEST_FINAL = 599;

	private ResponseStatus() {
	}

	/**
	 * Returns whether a code is one of a final response. RFC 9110, section 15, defines no
	 * others than 200 to 599; a response with another code tells nothing of the request.
	 * @param code the code
	 * @return {@code false} if the response must be taken for a failed call
	 */
	public static boolean isFinal(int code) {
		return code >= LOWEST_FINAL && code <= HIGHEST_FINAL;
	}

	/**
	 * Describes a response whose code is not a final one, for logs and outcomes.
	 * @param code the code
	 * @return the description
	 */
	public static String describeInvalid(int code) {
		return "status " + code + " is not one of a final response";
	}

}
