package org.medlardrum.transport.internal;

import io.servicetalk.http.api.DelegatingHttpServiceContext;
import io.servicetalk.transport.api.ConnectionContext;

/**
 * Access to the ServiceTalk connection of a request.
 */
public final class ConnectionContexts {

	private ConnectionContexts() {
	}

	/**
	 * Returns the context of the connection itself, without the wrappers of filters.
	 * @param context context of a request or connection
	 * @return the innermost context
	 */
	public static ConnectionContext unwrap(ConnectionContext context) {
		ConnectionContext inner = context;
		while (inner instanceof DelegatingHttpServiceContext delegating) {
			inner = delegating.delegate();
		}
		return inner;
	}

}
