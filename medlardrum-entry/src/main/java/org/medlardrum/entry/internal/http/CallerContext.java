package org.medlardrum.entry.internal.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import org.medlardrum.entry.internal.host.Metrics;
import org.medlardrum.entry.internal.host.Traces;
import org.medlardrum.protocol.problem.Problem;
import org.medlardrum.state.Rank;
import org.medlardrum.transport.server.HttpServerExchange;
import org.tinylog.Logger;

/**
 * State of one caller request while the host handles it. Each request is counted with
 * exactly one outcome.
 */
public final class CallerContext {

	/**
	 * Shortest time after which a refused caller may retry. {@code Retry-After} counts
	 * whole seconds, and a time of 0 would omit it.
	 */
	static final long MIN_RETRY_AFTER_MS = 1000;

	private final String id;

	private final HttpServerExchange exchange;

	private final Metrics metrics;

	private final Traces traces;

	private final long arrivedNs = System.nanoTime();

	private Rank rank;

	private String organisation;

	private boolean outcomeRecorded;

	CallerContext(String id, HttpServerExchange exchange, Metrics metrics, Traces traces) {
		this.id = id;
		this.exchange = exchange;
		this.metrics = metrics;
		this.traces = traces;
	}

	/**
	 * Returns the identifier of the request.
	 * @return the identifier
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Returns the HTTP exchange, which holds the request and its response.
	 * @return the exchange
	 */
	public HttpServerExchange exchange() {
		return this.exchange;
	}

	/**
	 * Sets the organisation after authentication.
	 * @param value name of the organisation
	 */
	public void organisation(String value) {
		this.organisation = value;
	}

	/**
	 * Sets the rank after the route is found.
	 * @param value the rank
	 */
	public void rank(Rank value) {
		this.rank = value;
	}

	/**
	 * Returns the time since the request arrived.
	 * @return milliseconds
	 */
	public double elapsedMs() {
		return (System.nanoTime() - this.arrivedNs) / 1e6;
	}

	/**
	 * Responds with a problem and records the outcome: {@code refused} when the request
	 * did not run, else {@code failed}.
	 * @param problem the problem
	 * @throws IOException if the caller disconnected
	 */
	public void respondWithProblem(Problem problem) throws IOException {
		recordOutcome(("no".equals(problem.ran())) ? "refused" : "failed",
				problem.type().uri() + ": " + problem.detail());
		if (problem.retryAfterMs() > 0) {
			this.exchange.addResponseHeader("Retry-After", Long.toString(problem.retryAfterS()));
		}
		this.exchange.respond(problem.type().status(), Problem.CONTENT_TYPE,
				problem.toJson().toString().getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Counts the outcome of the request. Later calls have no effect.
	 * @param outcome {@code completed}, {@code refused}, {@code failed}, or {@code cut}
	 * when the caller disconnected
	 * @param detail technical detail, which the admin port sends to operators; it must
	 * not contain content of the caller
	 */
	public void recordOutcome(String outcome, String detail) {
		if (this.outcomeRecorded) {
			return;
		}
		this.outcomeRecorded = true;
		this.metrics.request(this.rank, this.organisation, outcome);
		this.traces.recordEvent(this.id, outcome, detail);
		Logger.info("http: request {} {} after {} ms: {}", this.id, outcome, Math.round(elapsedMs()), detail);
	}

}
