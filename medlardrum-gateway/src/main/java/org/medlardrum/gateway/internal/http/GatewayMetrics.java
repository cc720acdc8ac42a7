package org.medlardrum.gateway.internal.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.DoubleSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Counters and latency histograms of the gateway. Label values come from fixed lists, so
 * the number of time series is bounded.
 */
public final class GatewayMetrics {

	private static final double[] BUCKET_BOUNDS_S = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5,
			5, 10, 20 };

	private static final double MS_PER_S = 1000;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter requests = Counter.builder()
		.name("medlardrum_gateway_requests")
		.help("Requests by kind of route and outcome")
		.labelNames("kind", "outcome")
		.register(this.registry);

	private final Counter attempts = Counter.builder()
		.name("medlardrum_gateway_attempts")
		.help("Attempts at backend servers by kind of route and reason")
		.labelNames("kind", "reason")
		.register(this.registry);

	private final Counter refusedCrossings = Counter.builder()
		.name("medlardrum_gateway_refused_crossings")
		.help("Searches whose only chains crossed zones beyond the budget of the links")
		.register(this.registry);

	private final Counter chainShortages = Counter.builder()
		.name("medlardrum_gateway_chain_shortages")
		.help("Streams that found no chain, by the resource that was used up")
		.labelNames("limit")
		.register(this.registry);

	private final Histogram firstByte = histogram("medlardrum_gateway_first_byte_seconds",
			"Time from arrival to the first byte of a response of a backend server");

	private final Histogram completeResponse = histogram("medlardrum_gateway_response_seconds",
			"Time from arrival to the end of a response of a backend server");

	private Histogram histogram(String name, String help) {
		return Histogram.builder()
			.name(name)
			.help(help)
			.classicOnly()
			.classicUpperBounds(BUCKET_BOUNDS_S)
			.labelNames("kind")
			.register(this.registry);
	}

	/**
	 * Registers a gauge that is evaluated at each scrape.
	 * @param name name of the metric
	 * @param help description
	 * @param value supplies the value
	 */
	public void gauge(String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(this.registry);
	}

	/**
	 * Counts a request that has ended.
	 * @param kind traffic kind of the route
	 * @param outcome outcome of the request
	 */
	public void countRequest(String kind, String outcome) {
		this.requests.labelValues(kind, outcome).inc();
	}

	/**
	 * Counts an attempt at a backend server.
	 * @param kind traffic kind of the route
	 * @param reason reason of the attempt
	 */
	public void countAttempt(String kind, String reason) {
		this.attempts.labelValues(kind, reason).inc();
	}

	/**
	 * Counts a search without a result because the budget of the links between zones is
	 * exhausted.
	 */
	public void countRefusedCrossing() {
		this.refusedCrossings.inc();
	}

	/**
	 * Counts a stream that found no chain.
	 * @param limit the resource that was used up
	 */
	public void countChainShortage(String limit) {
		this.chainShortages.labelValues(limit).inc();
	}

	/**
	 * Records the latency of the first byte of a response.
	 * @param kind traffic kind of the route
	 * @param ms time since the arrival of the request
	 */
	public void recordFirstByte(String kind, long ms) {
		this.firstByte.labelValues(kind).observe(ms / MS_PER_S);
	}

	/**
	 * Records the latency of a complete response.
	 * @param kind traffic kind of the route
	 * @param ms time since the arrival of the request
	 */
	public void recordCompleteResponse(String kind, long ms) {
		this.completeResponse.labelValues(kind).observe(ms / MS_PER_S);
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the document
	 * @throws IOException never, the document is written to memory
	 */
	public byte[] scrape() throws IOException {
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		new PrometheusTextFormatWriter(false).write(text, this.registry.scrape());
		return text.toByteArray();
	}

}
