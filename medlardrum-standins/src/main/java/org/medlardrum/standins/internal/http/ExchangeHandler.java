package org.medlardrum.standins.internal.http;

/**
 * Handles HTTP requests, each on its own virtual thread.
 */
@FunctionalInterface
public interface ExchangeHandler {

	/**
	 * Handles a request and sends its response.
	 * @param exchange the request and its response
	 * @throws Exception if the response cannot be sent
	 */
	void handle(Exchange exchange) throws Exception;

}
