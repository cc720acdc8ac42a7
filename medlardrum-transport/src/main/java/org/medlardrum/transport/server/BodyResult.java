package org.medlardrum.transport.server;

/**
 * Result of reading a request body.
 */
public sealed interface BodyResult {

	/**
	 * The complete body was received.
	 *
	 * @param bytes the body, empty for none
	 */
	record Complete(byte[] bytes) implements BodyResult {
	}

	/**
	 * The body exceeds the limit.
	 *
	 * @param maxBytes the limit
	 */
	record TooLarge(int maxBytes) implements BodyResult {
	}

	/**
	 * The body did not arrive in time, or the connection ended within it.
	 *
	 * @param reason short technical reason
	 */
	record Incomplete(String reason) implements BodyResult {
	}

}
