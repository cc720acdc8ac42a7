package org.medlardrum.state.routing;

/**
 * Limits of what a caller may send.
 *
 * @param headerBytes longest request header, in bytes
 * @param bodyBytes longest request body, in bytes
 * @param headerTimeoutMs longest time to send a header
 * @param idleTimeoutMs time after which an idle connection may be closed
 */
public record RequestLimits(int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/** Limits before a configuration is known, from the users' example configuration. */
	public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

}
