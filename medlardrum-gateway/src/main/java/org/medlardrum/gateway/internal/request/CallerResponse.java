package org.medlardrum.gateway.internal.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.protocol.problem.Problem;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.Rank;
import org.medlardrum.transport.server.HttpServerExchange;

/**
 * The response to a caller.
 */
public final class CallerResponse {

	private static final double MS_PER_S = 1000;

	private final HttpServerExchange exchange;

	private final GatewayState state;

	/**
	 * Creates a response.
	 * @param exchange the request and its response
	 * @param state what the host knows
	 */
	public CallerResponse(HttpServerExchange exchange, GatewayState state) {
		this.exchange = exchange;
		this.state = state;
	}

	/**
	 * Refuses a request that did not run.
	 * @param type type of the problem
	 * @param detail explanation
	 * @param rank rank of the request, negative if unknown
	 * @param retryAfterMs time after which to come back, 0 for none
	 * @throws IOException if the caller does not take the response
	 */
	public void refuse(ProblemType type, String detail, int rank, long retryAfterMs) throws IOException {
		if (retryAfterMs > 0) {
			this.exchange.responseHeader("retry-after", String.format(Locale.ROOT, "%.2f", retryAfterMs / MS_PER_S));
		}
		problem(Problem.notRun(type, detail, rank(rank), retryAfterMs));
	}

	/**
	 * Tells that a request failed and may have run.
	 * @param type type of the problem
	 * @param detail explanation
	 * @param rank rank of the request
	 * @throws IOException if the caller does not take the response
	 */
	public void fail(ProblemType type, String detail, int rank) throws IOException {
		problem(Problem.mayHaveRun(type, detail, rank(rank)));
	}

	private static Rank rank(int rank) {
		return (rank >= 0 && rank < Rank.values().length) ? Rank.values()[rank] : null;
	}

	private void problem(Problem problem) throws IOException {
		closeIfDraining();
		this.exchange.respond(problem.type().status(), Problem.CONTENT_TYPE,
				problem.toJson().toString().getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Passes on a whole response.
	 * @param status status
	 * @param headers names and values in turn
	 * @param body the body
	 * @throws IOException if the caller does not take the response
	 */
	public void deliver(int status, List<String> headers, byte[] body) throws IOException {
		addHeaders(headers);
		this.exchange.respond(status, null, body);
	}

	/**
	 * Passes on the header of a stream.
	 * @param status status
	 * @param headers names and values in turn
	 */
	public void startStream(int status, List<String> headers) {
		addHeaders(headers);
		this.exchange.startStream(status, null);
	}

	/**
	 * Passes on a part of a stream.
	 * @param bytes the part
	 * @throws IOException if the caller does not take the part
	 */
	public void write(byte[] bytes) throws IOException {
		this.exchange.stream(bytes);
	}

	/**
	 * Ends a stream that is complete.
	 * @throws IOException if the caller does not take the end
	 */
	public void finish() throws IOException {
		this.exchange.finish();
	}

	/**
	 * Ends a stream so that the caller sees that it is incomplete.
	 */
	public void abort() {
		this.exchange.abort();
	}

	private void addHeaders(List<String> headers) {
		for (int i = 0; i + 1 < headers.size(); i += 2) {
			this.exchange.responseHeader(headers.get(i), headers.get(i + 1));
		}
		closeIfDraining();
	}

	// Connections of a draining host end with their current request, so that callers
	// open the next one at another host.
	private void closeIfDraining() {
		if (this.state.isDraining()) {
			this.exchange.responseHeader("connection", "close");
		}
	}

}
