package org.medlardrum.protocol.engine;

/**
 * Body of {@code POST /v1/cancel}.
 *
 * @param request identifier of the request
 * @param attempt number of the attempt to cancel
 */
public record CancelRequest(String request, int attempt) {
}
