package org.medlardrum.coordination;

/**
 * Result of a call to another entry host.
 *
 * @param <T> type of the response
 */
public sealed interface PeerResult<T> {

	/**
	 * The peer responded.
	 *
	 * @param value the response
	 * @param <T> type of the response
	 */
	record Ok<T>(T value) implements PeerResult<T> {
	}

	/**
	 * The peer did not process the call: it could not be reached or refused the call, or
	 * the request could not be sent.
	 *
	 * @param reason short technical reason
	 * @param <T> type of the response
	 */
	record Unreachable<T>(String reason) implements PeerResult<T> {
	}

	/**
	 * The response was lost. The peer may have processed the call.
	 *
	 * @param reason short technical reason
	 * @param <T> type of the response
	 */
	record Unknown<T>(String reason) implements PeerResult<T> {
	}

}
