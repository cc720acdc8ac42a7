package org.medlardrum.gateway.internal.http;

import java.io.IOException;
import java.util.List;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import org.medlardrum.gateway.internal.request.CallerExchange;

/**
 * Serves the metrics to scrapers.
 */
public final class MetricsHandler implements StreamingHttpService {

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
	public Single<StreamingHttpResponse> handle(HttpServiceContext context, StreamingHttpRequest request,
			StreamingHttpResponseFactory responses) {
		CallerExchange exchange = new CallerExchange(context, request, responses);
		try {
			exchange.respond(OK, List.of("content-type", "text/plain; version=0.0.4; charset=utf-8"),
					this.metrics.scrape());
			return exchange.response();
		}
		catch (IOException ex) {
			return Single.failed(ex);
		}
	}

}
