package org.medlardrum.entry.internal.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.google.gson.JsonElement;
import org.medlardrum.entry.internal.host.Lifecycle;
import org.medlardrum.entry.internal.host.Metrics;
import org.medlardrum.entry.internal.host.Traces;
import org.medlardrum.transport.server.HttpHandler;
import org.medlardrum.transport.server.HttpServerExchange;

/**
 * Handles the requests of operators, metric scrapers and health probes on the admin port.
 */
public final class AdminHandler implements HttpHandler {

	private static final String EXPLAIN_PREFIX = "/explain/";

	private static final String JSON = "application/json";

	private static final String TEXT = "text/plain; charset=utf-8";

	private static final Pattern AFTER_PARAMETER = Pattern.compile("[?&]after=(\\d{1,18})(&|$)");

	private static final int OK = 200;

	private static final int ACCEPTED = 202;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private final Lifecycle lifecycle;

	private final Metrics metrics;

	private final Traces traces;

	private final Supplier<Boolean> configured;

	private final Supplier<JsonElement> status;

	private final Supplier<JsonElement> quarantine;

	private final Runnable drain;

	private final LongFunction<String> changesAfter;

	/**
	 * Creates a handler.
	 * @param lifecycle state of the graceful shutdown
	 * @param metrics the metrics to expose
	 * @param traces recent decisions and requests
	 * @param configured tells whether a configuration is in force; the host is not ready
	 * before
	 * @param status returns the state of the host
	 * @param quarantine returns the crash suspects and the quarantined requests
	 * @param drain starts the graceful shutdown
	 * @param changesAfter returns the configuration changes after a given version; the
	 * command line restores from them the changes that the platform's store has lost
	 */
	public AdminHandler(Lifecycle lifecycle, Metrics metrics, Traces traces, Supplier<Boolean> configured,
			Supplier<JsonElement> status, Supplier<JsonElement> quarantine, Runnable drain,
			LongFunction<String> changesAfter) {
		this.lifecycle = lifecycle;
		this.metrics = metrics;
		this.traces = traces;
		this.configured = configured;
		this.status = status;
		this.quarantine = quarantine;
		this.drain = drain;
		this.changesAfter = changesAfter;
	}

	@Override
	public void handle(HttpServerExchange exchange) throws IOException {
		exchange.readBody(0);
		String path = exchange.path();
		if (path.startsWith(EXPLAIN_PREFIX)) {
			String explanation = this.traces.explain(path.substring(EXPLAIN_PREFIX.length())).orElse(null);
			send(exchange, (explanation != null) ? OK : NOT_FOUND, JSON, (explanation != null) ? explanation : "{}");
			return;
		}
		switch (exchange.method() + " " + path) {
			case "GET /livez" -> send(exchange, OK, TEXT, "live\n");
			case "GET /readyz" -> sendReadiness(exchange);
			case "GET /metrics" ->
				exchange.respond(OK, "text/plain; version=0.0.4; charset=utf-8", this.metrics.text());
			case "GET /status" -> send(exchange, OK, JSON, this.status.get().toString());
			case "GET /config" -> sendConfigChanges(exchange);
			case "GET /quarantine" -> send(exchange, OK, JSON, this.quarantine.get().toString());
			case "GET /trace" -> send(exchange, OK, "application/x-ndjson", this.traces.decisionLines());
			case "POST /drain" -> {
				this.drain.run();
				send(exchange, ACCEPTED, TEXT, "draining\n");
			}
			case "POST /undrain" -> {
				this.lifecycle.undrain();
				send(exchange, OK, TEXT, "serving\n");
			}
			default -> send(exchange, NOT_FOUND, TEXT, "no such resource\n");
		}
	}

	private void sendConfigChanges(HttpServerExchange exchange) throws IOException {
		Matcher after = AFTER_PARAMETER.matcher(exchange.target());
		if (after.find()) {
			send(exchange, OK, JSON, this.changesAfter.apply(Long.parseLong(after.group(1))));
		}
		else {
			send(exchange, BAD_REQUEST, TEXT, "after is missing or not a version\n");
		}
	}

	private void sendReadiness(HttpServerExchange exchange) throws IOException {
		if (this.lifecycle.isDraining()) {
			send(exchange, UNAVAILABLE, TEXT, "draining\n");
		}
		else if (!this.configured.get()) {
			send(exchange, UNAVAILABLE, TEXT, "no configuration\n");
		}
		else {
			send(exchange, OK, TEXT, "ready\n");
		}
	}

	private static void send(HttpServerExchange exchange, int status, String contentType, String text)
			throws IOException {
		exchange.respond(status, contentType, text.getBytes(StandardCharsets.UTF_8));
	}

}
