package org.medlardrum.transport.internal;

import io.servicetalk.http.api.StreamingHttpRequest;

/**
 * Last check of a request, on a connection that is ready, before its first byte is
 * written.
 */
@FunctionalInterface
public interface WriteCheck {

	/**
	 * Completes the headers of the request or withholds it.
	 * @param request the request
	 * @return {@code false} if no byte of the request must be written
	 */
	boolean prepare(StreamingHttpRequest request);

}
