package org.medlardrum.state.routing;

/**
 * Limits for the requests of callers, from the operator's configuration. Only
 * {@code bodyBytes} is enforced from here; the HTTP listener takes its limits for headers
 * and idle connections from its own {@code ServerLimits}.
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
