package org.medlardrum.transport;

import java.util.List;

/**
 * A call of a plain service.
 *
 * @param method HTTP method
 * @param target path and query
 * @param headers header names and values in turn
 * @param body body, empty for none
 */
public record ServiceRequest(String method, String target, List<String> headers, byte[] body) {

	public ServiceRequest {
		headers = List.copyOf(headers);
	}

}
