package org.medlardrum.state;

/**
 * What is known about one try to run a request on a backend server. Retries, resumption
 * and refusals depend only on this value and on whether the request is idempotent.
 *
 * @param <T> type of the response
 */
public sealed interface Outcome<T> {

	/**
	 * The request did not run: no byte of it can have reached a backend server, or the
	 * server itself said that it did not run it.
	 *
	 * @param reason short technical reason
	 * @param retryAfterMs time after which a retry can help, 0 when unknown
	 * @param <T> type of the response
	 */
	record NotRun<T>(String reason, long retryAfterMs) implements Outcome<T> {
	}

	/**
	 * The request may have run, wholly or in part.
	 *
	 * @param reason short technical reason
	 * @param <T> type of the response
	 */
	record MayHaveRun<T>(String reason) implements Outcome<T> {
	}

	/**
	 * The request ran and its whole response is known.
	 *
	 * @param value the response
	 * @param <T> type of the response
	 */
	record Completed<T>(T value) implements Outcome<T> {
	}

}
