package org.medlardrum.state;

/**
 * Outcome of one attempt to run a request on a backend server. Whether the request is
 * retried, resumed or refused depends only on this value and on whether it is idempotent.
 *
 * @param <T> type of the response
 */
public sealed interface Outcome<T> {

	/**
	 * The request did not run: no byte of it can have reached a backend server, or the
	 * server itself reported that it did not run the request.
	 *
	 * @param reason short technical reason
	 * @param retryAfterMs time after which a retry may succeed, in milliseconds, 0 if
	 * unknown
	 * @param <T> type of the response
	 */
	record NotRun<T>(String reason, long retryAfterMs) implements Outcome<T> {
	}

	/**
	 * The request may have run, completely or partially.
	 *
	 * @param reason short technical reason
	 * @param <T> type of the response
	 */
	record MayHaveRun<T>(String reason) implements Outcome<T> {
	}

	/**
	 * The request ran and its complete response was received.
	 *
	 * @param value the response
	 * @param <T> type of the response
	 */
	record Completed<T>(T value) implements Outcome<T> {
	}

}
