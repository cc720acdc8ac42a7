package org.medlardrum.transport;

import java.util.List;

/**
 * The whole response of a plain service.
 *
 * @param status HTTP status
 * @param headers header names and values in turn
 * @param body body, empty for none
 */
public record ServiceResponse(int status, List<String> headers, byte[] body) {

	public ServiceResponse {
		headers = List.copyOf(headers);
	}

}
