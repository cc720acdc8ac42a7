package org.medlardrum.entry.internal.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.gson.JsonObject;
import org.medlardrum.entry.internal.host.Metrics;
import org.medlardrum.entry.internal.model.ModelJob;
import org.medlardrum.entry.internal.model.TokenSink;
import org.medlardrum.protocol.caller.ChatCodec;
import org.medlardrum.protocol.problem.Problem;
import org.medlardrum.transport.server.HttpServerExchange;

/**
 * Writes the completion of a model request to its caller, either as a stream of tokens or
 * as one JSON response. The status line of a stream is sent only with the first token, so
 * that a request that fails earlier can still be answered with a problem and its status.
 */
final class CompletionWriter implements TokenSink {

	private static final String EVENT_STREAM = "text/event-stream";

	private static final int OK = 200;

	private final CallerContext context;

	private final ModelJob job;

	private final boolean streamed;

	private final Metrics metrics;

	private final long createdS;

	private double firstTokenMs = -1;

	private double lastTokenMs;

	private int tokenCount;

	CompletionWriter(CallerContext context, ModelJob job, boolean streamed, Metrics metrics, long createdS) {
		this.context = context;
		this.job = job;
		this.streamed = streamed;
		this.metrics = metrics;
		this.createdS = createdS;
	}

	@Override
	public void onToken(String text) throws IOException {
		double nowMs = this.context.elapsedMs();
		if (this.tokenCount == 0) {
			this.firstTokenMs = nowMs;
			this.metrics.firstToken(this.job.rank(), nowMs);
		}
		else {
			this.metrics.betweenTokens(this.job.rank(), nowMs - this.lastTokenMs);
		}
		this.lastTokenMs = nowMs;
		this.tokenCount++;
		if (this.streamed) {
			startStream();
			sendEvent(ChatCodec.chunk(this.job.requestId(), this.createdS, this.job.route(), text, null));
		}
	}

	void complete(List<String> completion, String reason) throws IOException {
		HttpServerExchange exchange = this.context.exchange();
		if (this.streamed) {
			startStream();
			sendEvent(ChatCodec.chunk(this.job.requestId(), this.createdS, this.job.route(), null, reason));
			sendEvent(ChatCodec.DONE);
			exchange.finish();
			return;
		}
		exchange.respond(OK, "application/json",
				ChatCodec.completion(this.job.requestId(), this.createdS, this.job.route(), completion, reason)
					.getBytes(StandardCharsets.UTF_8));
	}

	// A stream that has started can no longer change its status: it ends with an error
	// event and without [DONE].
	void fail(Problem problem) throws IOException {
		if (!this.context.exchange().isResponseStarted()) {
			this.context.respondWithProblem(problem);
			return;
		}
		JsonObject error = new JsonObject();
		error.add("error", problem.toJson());
		this.context.recordOutcome("failed", problem.type().uri() + ": " + problem.detail());
		sendEvent(error.toString());
		this.context.exchange().finish();
	}

	boolean meetsTargets(long firstTokenTargetMs, long betweenTokensTargetMs) {
		double meanGapMs = (this.tokenCount > 1) ? (this.lastTokenMs - this.firstTokenMs) / (this.tokenCount - 1) : 0;
		return this.firstTokenMs <= firstTokenTargetMs && meanGapMs <= betweenTokensTargetMs;
	}

	private void startStream() {
		if (!this.context.exchange().isResponseStarted()) {
			this.context.exchange().startStream(OK, EVENT_STREAM);
		}
	}

	private void sendEvent(String data) throws IOException {
		this.context.exchange().writeChunk(ChatCodec.event(data));
	}

}
