package org.medlardrum.gateway.internal.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.medlardrum.decisions.memory.HeldBytes;
import org.medlardrum.gateway.internal.call.ReceivedBody;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.protocol.problem.Problem;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.Rank;

/**
 * Writes the response to a caller: a backend server's response or a problem document.
 */
public final class CallerResponse {

	private static final double MS_PER_S = 1000;

	private final CallerExchange exchange;

	private final GatewayState state;

	/**
	 * Creates a response.
	 * @param exchange the request and its response
	 * @param state state of the host
	 */
	public CallerResponse(CallerExchange exchange, GatewayState state) {
		this.exchange = exchange;
		this.state = state;
	}

	/**
	 * Refuses a request that was not executed.
	 * @param type type of the problem
	 * @param detail explanation for the caller
	 * @param rank rank of the request, negative if unknown
	 * @param retryAfterMs time in milliseconds after which the caller may retry, 0 for
	 * none
	 */
	public void refuse(ProblemType type, String detail, int rank, long retryAfterMs) {
		problem(Problem.notRun(type, detail, rank(rank), retryAfterMs), retryAfterMs);
	}

	/**
	 * Reports that a request failed and may have been executed.
	 * @param type type of the problem
	 * @param detail explanation for the caller
	 * @param rank rank of the request, negative if unknown
	 */
	public void fail(ProblemType type, String detail, int rank) {
		problem(Problem.mayHaveRun(type, detail, rank(rank)), 0);
	}

	private static Rank rank(int rank) {
		return (rank >= 0 && rank < Rank.values().length) ? Rank.values()[rank] : null;
	}

	private void problem(Problem problem, long retryAfterMs) {
		List<String> headers = new ArrayList<>(List.of("content-type", Problem.CONTENT_TYPE));
		headers.addAll(this.exchange.problemHeaders());
		if (retryAfterMs > 0) {
			headers.addAll(List.of("retry-after", String.format(Locale.ROOT, "%.2f", retryAfterMs / MS_PER_S)));
		}
		this.exchange.respond(problem.type().status(), closingIfDraining(headers),
				problem.toJson().toString().getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Passes on a complete response.
	 * @param status status of the response
	 * @param headers alternating names and values
	 * @param body the body, closed once the caller has received it
	 */
	public void deliver(int status, List<String> headers, ReceivedBody body) {
		this.exchange.respond(status, closingIfDraining(headers), body);
	}

	/**
	 * Passes on the status and headers of a streamed response.
	 * @param status status of the response
	 * @param headers alternating names and values
	 * @param backlog counts the bytes that the caller has not read
	 */
	public void startStream(int status, List<String> headers, HeldBytes backlog) {
		this.exchange.startStream(status, closingIfDraining(headers), backlog);
	}

	/**
	 * Passes on a part of a streamed response.
	 * @param bytes the part
	 */
	public void write(byte[] bytes) {
		this.exchange.write(bytes);
	}

	/**
	 * Returns whether the caller leaves more of a streamed response unread than the host
	 * can hold.
	 * @return {@code true} if the response has to end
	 */
	public boolean isBacklogTooLarge() {
		return this.exchange.isBacklogTooLarge();
	}

	/**
	 * Completes a streamed response.
	 */
	public void finish() {
		this.exchange.finish();
	}

	/**
	 * Returns whether the header of the response has been sent.
	 * @return {@code true} after the first part of the response
	 */
	public boolean isStarted() {
		return this.exchange.isStarted();
	}

	/**
	 * Ends the response after an internal error of the gateway.
	 * @param rank rank of the request
	 */
	public void abandon(int rank) {
		if (this.exchange.isStarted()) {
			this.exchange.abort();
		}
		else {
			fail(ProblemType.BACKEND_FAILED, "The gateway failed", rank);
		}
	}

	/**
	 * Aborts a streamed response, so that the caller detects that it is incomplete.
	 */
	public void abort() {
		this.exchange.abort();
	}

	// Closes each connection of a draining host after its current request, so that
	// callers open the next connection to another host.
	private List<String> closingIfDraining(List<String> headers) {
		if (!this.state.isDraining()) {
			return headers;
		}
		List<String> ended = new ArrayList<>(headers);
		ended.addAll(List.of("connection", "close"));
		return ended;
	}

}
