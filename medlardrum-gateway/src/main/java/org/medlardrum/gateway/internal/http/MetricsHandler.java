package org.medlardrum.gateway.internal.http;

import org.medlardrum.transport.server.HttpHandler;
import org.medlardrum.transport.server.HttpServerExchange;

/**
 * Serves the metrics.
 */
public final class MetricsHandler implements HttpHandler {

	private static final int OK = 200;

	private final GatewayMetrics metrics;

	/**
	 * Creates a handler.
	 * @param metrics the metrics
	 */
	public MetricsHandler(GatewayMetrics metrics) {
		this.metrics = metrics;
	}

	@Override
	public void handle(HttpServerExchange exchange) throws Exception {
		exchange.respond(OK, "text/plain; version=0.0.4; charset=utf-8", this.metrics.text());
	}

}
