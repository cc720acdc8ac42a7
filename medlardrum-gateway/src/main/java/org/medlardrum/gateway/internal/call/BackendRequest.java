package org.medlardrum.gateway.internal.call;

import java.util.List;

/**
 * A request to a backend server.
 *
 * @param address {@code ip:port} of the server
 * @param method HTTP method
 * @param target path and query
 * @param headers alternating names and values
 * @param body the body, empty for none
 */
public record BackendRequest(String address, String method, String target, List<String> headers, byte[] body) {
}
