package org.medlardrum.entry.internal.http;

import java.io.IOException;

/**
 * Handles a request whose organisation was identified and whose body was read.
 */
@FunctionalInterface
interface AuthenticatedHandler {

	/**
	 * Handles the request.
	 * @param organisation name of the organisation
	 * @param body the body
	 * @throws IOException if the caller disconnected
	 */
	void handle(String organisation, byte[] body) throws IOException;

}
