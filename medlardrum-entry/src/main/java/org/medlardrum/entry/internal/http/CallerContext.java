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
 * One caller request on its way through the host. Each request ends with exactly one
 * counted outcome.
 */
public final class CallerContext {

	private final String id;

	private final HttpServerExchange exchange;

	private final Metrics metrics;

	private final Traces traces;

	private final long arrivedNs = System.nanoTime();

	private Rank rank;

	private String organisation;

	private boolean ended;

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
	 * Returns the request and its response.
	 * @return the exchange
	 */
	public HttpServerExchange exchange() {
		return this.exchange;
	}

	/**
	 * Sets the organisation once it is known.
	 * @param value configured name
	 */
	public void organisation(String value) {
		this.organisation = value;
	}

	/**
	 * Sets the rank once it is known.
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
	 * Ends the request with a problem. It counts as refused when it did not run.
	 * @param problem the problem
	 * @throws IOException if the caller has gone
	 */
	public void end(Problem problem) throws IOException {
		ended(("no".equals(problem.ran())) ? "refused" : "failed", problem.type().uri() + ": " + problem.detail());
		if (problem.retryAfterMs() > 0) {
			this.exchange.addResponseHeader("Retry-After", Long.toString(problem.retryAfterS()));
		}
		this.exchange.respond(problem.type().status(), Problem.CONTENT_TYPE,
				problem.toJson().toString().getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Counts the outcome of the request. Only the first call counts.
	 * @param outcome {@code completed}, {@code refused}, {@code failed} or {@code cut}
	 * @param detail technical detail without content of the caller
	 */
	public void ended(String outcome, String detail) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.metrics.request(this.rank, this.organisation, outcome);
		this.traces.recordEvent(this.id, outcome, detail);
		Logger.info("http: request {} {} after {} ms: {}", this.id, outcome, Math.round(elapsedMs()), detail);
	}

}
