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
 * Sends the answer of a model request, token by token or whole. A streamed response
 * starts with its first token, so that a request that fails before gets a problem with
 * its own status.
 */
final class AnswerStream implements TokenSink {

	private static final String EVENT_STREAM = "text/event-stream";

	private static final int OK = 200;

	private final CallerContext context;

	private final ModelJob job;

	private final boolean streamed;

	private final Metrics metrics;

	private final long createdS;

	private double firstTokenMs = -1;

	private double lastTokenMs;

	private int tokens;

	AnswerStream(CallerContext context, ModelJob job, boolean streamed, Metrics metrics, long createdS) {
		this.context = context;
		this.job = job;
		this.streamed = streamed;
		this.metrics = metrics;
		this.createdS = createdS;
	}

	@Override
	public void token(String text) throws IOException {
		double nowMs = this.context.elapsedMs();
		if (this.tokens == 0) {
			this.firstTokenMs = nowMs;
			this.metrics.firstToken(this.job.rank(), nowMs);
		}
		else {
			this.metrics.betweenTokens(this.job.rank(), nowMs - this.lastTokenMs);
		}
		this.lastTokenMs = nowMs;
		this.tokens++;
		if (this.streamed) {
			start();
			event(ChatCodec.chunk(this.job.request(), this.createdS, this.job.route(), text, null));
		}
	}

	void complete(List<String> answer, String reason) throws IOException {
		HttpServerExchange exchange = this.context.exchange();
		if (this.streamed) {
			start();
			event(ChatCodec.chunk(this.job.request(), this.createdS, this.job.route(), null, reason));
			event(ChatCodec.DONE);
			exchange.finish();
			return;
		}
		exchange.respond(OK, "application/json",
				ChatCodec.completion(this.job.request(), this.createdS, this.job.route(), answer, reason)
					.getBytes(StandardCharsets.UTF_8));
	}

	// A started stream ends with an error event and without [DONE].
	void fail(Problem problem) throws IOException {
		if (!this.context.exchange().isResponseStarted()) {
			this.context.end(problem);
			return;
		}
		JsonObject error = new JsonObject();
		error.add("error", problem.toJson());
		this.context.ended("failed", problem.type().uri() + ": " + problem.detail());
		event(error.toString());
		this.context.exchange().finish();
	}

	boolean isWithin(long firstTokenTargetMs, long betweenTokensTargetMs) {
		double meanGapMs = (this.tokens > 1) ? (this.lastTokenMs - this.firstTokenMs) / (this.tokens - 1) : 0;
		return this.firstTokenMs <= firstTokenTargetMs && meanGapMs <= betweenTokensTargetMs;
	}

	private void start() {
		if (!this.context.exchange().isResponseStarted()) {
			this.context.exchange().startStream(OK, EVENT_STREAM);
		}
	}

	private void event(String data) throws IOException {
		this.context.exchange().writeChunk(ChatCodec.event(data));
	}

}
