package org.medlardrum.transport.internal;

import io.servicetalk.http.api.StreamingHttpRequest;

/**
 * Last check of a request, on a connection that is ready, before its first byte is
 * written.
 */
public interface WriteCheck {

	/**
	 * Returns whether to wait for one turn of the event loop before
	 * {@link #prepare(StreamingHttpRequest)}, in which events are handled that arrived
	 * while the connection was set up.
	 * @return {@code true} to wait
	 */
	boolean waitsOneTurn();

	/**
	 * Completes the headers of the request or withholds it.
	 * @param request the request
	 * @return {@code false} if no byte of the request must be written
	 */
	boolean prepare(StreamingHttpRequest request);

}
