package org.medlardrum.standins;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.medlardrum.standins.internal.http.Exchange;
import org.medlardrum.standins.internal.http.HttpEndpoint;

/**
 * Control address of a process, on which servers can be controlled while they are
 * crashed: {@code /<server id>/control/...}.
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

	@FunctionalInterface
	interface Control {

		void handle(Exchange exchange, String path) throws Exception;

	}

}
