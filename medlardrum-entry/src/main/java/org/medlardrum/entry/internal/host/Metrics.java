package org.medlardrum.entry.internal.host;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.medlardrum.entry.internal.admission.PoolStatus;
import org.medlardrum.entry.internal.fleet.FleetView;
import org.medlardrum.state.CircuitState;
import org.medlardrum.state.Rank;

/**
 * Metrics of the entry host. Label values come from the configuration and from fixed
 * lists, so the number of time series is bounded.
 */
public final class Metrics {

	/** Label value of requests that fail before their rank or organisation is known. */
	public static final String UNKNOWN = "unknown";

	private static final double[] DURATION_BUCKETS_S = { 0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15,
			0.25, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 30 };

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter requests = counter("medlardrum_requests", "Requests by outcome", "rank", "organisation",
			"outcome");

	private final Counter withinTarget = counter("medlardrum_requests_within_target",
			"Completed requests within the targets of their rank", "rank", "organisation");

	private final Counter retries = counter("medlardrum_retries", "Attempts after the first", "kind");

	private final Counter resumes = counter("medlardrum_resumes", "Attempts that resumed after delivered tokens");

	private final Counter droppedFrames = counter("medlardrum_dropped_frames",
			"Engine frames that did not belong to the attempt's next position", "reason");

	private final Counter crashes = counter("medlardrum_backend_crashes", "Crashes of backend servers seen here");

	private final Histogram firstToken = histogram("medlardrum_first_token_seconds",
			"Time from arrival to the first token or to the response of a plain service");

	private final Histogram betweenTokens = histogram("medlardrum_between_tokens_seconds", "Time between tokens");

	private final Histogram admissionWait = histogram("medlardrum_admission_wait_seconds",
			"Time that started requests spent in the queue");

	/**
	 * Registers the gauges whose values are read at each scrape.
	 * @param fleet current view of the backend servers
	 * @param pools current state of the admission queues
	 * @param inFlight number of requests in progress
	 * @param configVersion version of the configuration in force
	 */
	public void registerGauges(Supplier<FleetView> fleet, Supplier<List<PoolStatus>> pools, Supplier<Integer> inFlight,
			Supplier<Long> configVersion) {
		gauge("medlardrum_circuits", "Circuits of backend servers by state", "state")
			.callback((callback) -> reportCircuits(callback, fleet.get()))
			.register(this.registry);
		gauge("medlardrum_queue_depth", "Requests that wait for admission", "pool", "rank")
			.callback((callback) -> pools.get()
				.forEach((pool) -> pool.queued()
					.forEach((rank, queued) -> callback.call(queued, pool.pool(), rank.wireName()))))
			.register(this.registry);
		gauge("medlardrum_window_in_use", "Requests admitted and running", "pool")
			.callback((callback) -> pools.get().forEach((pool) -> callback.call(pool.running(), pool.pool())))
			.register(this.registry);
		gauge("medlardrum_requests_in_flight", "Caller requests in progress")
			.callback((callback) -> callback.call(inFlight.get()))
			.register(this.registry);
		gauge("medlardrum_config_version", "Version of the configuration in force")
			.callback((callback) -> callback.call(configVersion.get()))
			.register(this.registry);
	}

	/**
	 * Counts the end of a request.
	 * @param rank rank, {@code null} when unknown
	 * @param organisation configured name, {@code null} when unknown
	 * @param outcome {@code completed}, {@code refused} when the request did not run,
	 * {@code failed} when it may have run, or {@code cut} when the caller disconnected
	 */
	public void request(Rank rank, String organisation, String outcome) {
		this.requests.labelValues(label(rank), (organisation != null) ? organisation : UNKNOWN, outcome).inc();
	}

	/**
	 * Counts a completed request within the targets of its rank.
	 * @param rank rank
	 * @param organisation configured name
	 */
	public void withinTarget(Rank rank, String organisation) {
		this.withinTarget.labelValues(label(rank), organisation).inc();
	}

	/**
	 * Counts a retry: an attempt after the first one of a request.
	 * @param kind {@code model} or {@code service}
	 */
	public void retry(String kind) {
		this.retries.labelValues(kind).inc();
	}

	/**
	 * Counts an attempt that resumes after delivered tokens.
	 */
	public void resume() {
		this.resumes.inc();
	}

	/**
	 * Counts a dropped frame.
	 * @param reason reason from the fixed list of the frame validation
	 */
	public void droppedFrame(String reason) {
		this.droppedFrames.labelValues(reason).inc();
	}

	/**
	 * Counts a crash of a backend server.
	 */
	public void crash() {
		this.crashes.inc();
	}

	/**
	 * Records the time from arrival to the first token, or to the response of a plain
	 * service.
	 * @param rank rank
	 * @param durationMs the time, in milliseconds
	 */
	public void firstToken(Rank rank, double durationMs) {
		this.firstToken.labelValues(label(rank)).observe(durationMs / 1000);
	}

	/**
	 * Records the time between two tokens.
	 * @param rank rank
	 * @param durationMs the time, in milliseconds
	 */
	public void betweenTokens(Rank rank, double durationMs) {
		this.betweenTokens.labelValues(label(rank)).observe(durationMs / 1000);
	}

	/**
	 * Records the time from arrival to admission. Besides the queue, it includes
	 * authentication and the reading of the body.
	 * @param rank rank
	 * @param durationMs the time, in milliseconds
	 */
	public void admissionWait(Rank rank, double durationMs) {
		this.admissionWait.labelValues(label(rank)).observe(durationMs / 1000);
	}

	/**
	 * Returns all metrics.
	 * @return the metrics in the text format of Prometheus
	 * @throws IOException never, since the text is written to memory
	 */
	public byte[] text() throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		PrometheusTextFormatWriter.create().write(out, this.registry.scrape());
		return out.toByteArray();
	}

	private static String label(Rank rank) {
		return (rank != null) ? rank.wireName() : UNKNOWN;
	}

	private static void reportCircuits(GaugeWithCallback.Callback callback, FleetView view) {
		for (CircuitState state : CircuitState.values()) {
			callback.call(view.circuitCount(state), state.name().toLowerCase(java.util.Locale.ROOT));
		}
	}

	private Counter counter(String name, String help, String... labels) {
		return Counter.builder().name(name).help(help).labelNames(labels).register(this.registry);
	}

	private Histogram histogram(String name, String help) {
		return Histogram.builder()
			.name(name)
			.help(help)
			.labelNames("rank")
			.classicOnly()
			.classicUpperBounds(DURATION_BUCKETS_S)
			.register(this.registry);
	}

	private static GaugeWithCallback.Builder gauge(String name, String help, String... labels) {
		return GaugeWithCallback.builder().name(name).help(help).labelNames(labels);
	}

}
