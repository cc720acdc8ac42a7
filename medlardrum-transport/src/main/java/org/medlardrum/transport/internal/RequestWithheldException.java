package org.medlardrum.transport.internal;

import java.io.IOException;

import io.servicetalk.transport.api.RetryableException;

/**
 * Thrown when a {@link WriteCheck} has withheld a request. No byte of it was written.
 */
public final class RequestWithheldException extends IOException implements RetryableException {

	private static final long serialVersionUID = 1;

	RequestWithheldException() {
		super("the request was withheld before its first byte");
	}

	/**
	 * Returns whether a request failed because it was withheld.
	 * @param failure the failure
	 * @return {@code true} if this exception caused the failure
	 */
	public static boolean isCauseOf(Throwable failure) {
		for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
			if (cause instanceof RequestWithheldException) {
				return true;
			}
		}
		return false;
	}

}
