package org.medlardrum.transport;

import java.util.List;

/**
 * Complete response of a plain service.
 *
 * @param status HTTP status
 * @param headers alternating header names and values
 * @param body response body, empty for none
 */
public record ServiceResponse(int status, List<String> headers, byte[] body) {

	public ServiceResponse {
		headers = List.copyOf(headers);
	}

}
