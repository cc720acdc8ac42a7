package org.medlardrum.standins;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.medlardrum.standins.internal.http.Exchange;
import org.medlardrum.standins.internal.http.HttpEndpoint;

/**
 * HTTP endpoint that forwards control calls to the stand-ins of one process, at
 * {@code /<server id>/control/...}. It stays reachable while a stand-in is crashed and
 * its own address refuses connections.
 */
final class ControlEndpoint implements AutoCloseable {

	private final Map<String, Control> controls = new ConcurrentHashMap<>();

	private final HttpEndpoint endpoint;

	ControlEndpoint(int port) {
		this.endpoint = new HttpEndpoint(port, this::handle);
		this.endpoint.start();
	}

	void add(String serverId, Control control) {
		this.controls.put(serverId, control);
	}

	String address() {
		return this.endpoint.address();
	}

	@Override
	public void close() {
		this.endpoint.close();
	}

	private void handle(Exchange exchange) throws Exception {
		String path = exchange.path();
		int end = path.indexOf("/control/", 1);
		Control control = (end > 0) ? this.controls.get(path.substring(1, end)) : null;
		if (control == null) {
			exchange.sendJson(404, Map.of("error", "no such server"));
			return;
		}
		control.handle(exchange, path.substring(end));
	}

	/**
	 * Handles the control calls of one stand-in; the path starts at {@code /control/}.
	 */
	@FunctionalInterface
	interface Control {

		void handle(Exchange exchange, String path) throws Exception;

	}

}
