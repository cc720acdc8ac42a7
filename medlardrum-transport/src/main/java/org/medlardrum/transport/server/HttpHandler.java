package org.medlardrum.transport.server;

/**
 * Handler of the requests of a server. Runs on a virtual thread and must send a response.
 */
@FunctionalInterface
public interface HttpHandler {

	/**
	 * Handles a request.
	 * @param exchange the request and its response
	 * @throws Exception if the response cannot be sent, for example because the peer has
	 * closed the connection
	 */
	void handle(HttpServerExchange exchange) throws Exception;

}
