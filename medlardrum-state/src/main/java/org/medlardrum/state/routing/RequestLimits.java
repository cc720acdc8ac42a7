package org.medlardrum.state.routing;

/**
 * Limits for the requests of callers, from the operator's configuration. The gateway
 * enforces {@code bodyBytes} and {@code idleTimeoutMs}; its limit of headers is fixed,
 * and an incomplete header is bounded by the idle timeout.
 *
 * @param headerBytes largest request header, in bytes
 * @param bodyBytes largest request body, in bytes
 * @param headerTimeoutMs time within which a caller must send the header, in milliseconds
 * @param idleTimeoutMs time after which an idle connection may be closed, in milliseconds
 */
public record RequestLimits(int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/**
	 * Limits before the first configuration is received, and for limits that a
	 * configuration omits. The values are those of the users' example configuration.
	 */
	public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

}
