package org.medlardrum.transport;

import java.util.List;

/**
 * Request to a plain service.
 *
 * @param method HTTP method
 * @param target path and query
 * @param headers alternating header names and values
 * @param body request body, empty for none
 */
public record ServiceRequest(String method, String target, List<String> headers, byte[] body) {

	public ServiceRequest {
		headers = List.copyOf(headers);
	}

}
