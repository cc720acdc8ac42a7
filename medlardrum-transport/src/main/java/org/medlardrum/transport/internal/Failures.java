package org.medlardrum.transport.internal;

import java.net.ConnectException;
import java.net.NoRouteToHostException;

import io.servicetalk.transport.api.RetryableException;

/**
 * Classification of failed HTTP exchanges.
 */
public final class Failures {

	private static final int MAX_CAUSE_DEPTH = 8;

	private Failures() {
	}

	/**
	 * Returns whether no byte of the request can have left this host. ServiceTalk throws
	 * a {@link RetryableException} if a connection could not be established or was closed
	 * before the first write.
	 * @param failure the failure
	 * @return {@code true} if the request was not sent
	 */
	public static boolean isNotSent(Throwable failure) {
		Throwable cause = failure;
		for (int depth = 0; cause != null && depth < MAX_CAUSE_DEPTH; depth++) {
			if (cause instanceof RetryableException || cause instanceof ConnectException
					|| cause instanceof NoRouteToHostException || cause instanceof UnusableAddressException) {
				return true;
			}
			cause = cause.getCause();
		}
		return false;
	}

	/**
	 * Describes a failure for logs and outcomes.
	 * @param failure the failure
	 * @return type and message of the root cause
	 */
	public static String describe(Throwable failure) {
		Throwable root = failure;
		for (int depth = 0; root.getCause() != null && depth < MAX_CAUSE_DEPTH; depth++) {
			root = root.getCause();
		}
		String message = root.getMessage();
		return (message != null) ? root.getClass().getSimpleName() + ": " + message : root.getClass().getSimpleName();
	}

}
