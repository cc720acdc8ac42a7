package org.medlardrum.entry.internal.model;

import java.io.IOException;
import java.time.InstantSource;
import java.util.List;

import org.medlardrum.entry.internal.fleet.Fleet;
import org.medlardrum.entry.internal.host.Metrics;
import org.medlardrum.protocol.engine.EngineFrame;
import org.medlardrum.protocol.engine.GenerateRequest;
import org.medlardrum.state.Chain;
import org.medlardrum.state.Outcome;
import org.medlardrum.transport.EngineClient;
import org.medlardrum.transport.EngineStream;
import org.medlardrum.transport.StreamEvent;

/**
 * One try to run a request on one chain. Used by the request's thread.
 */
final class Attempt {

	/** Time to read the end of a response whose last frame has arrived. */
	private static final long FINISH_TIMEOUT_MS = 100;

	/** Prefix of the code of a failure in which the head took no connection. */
	static final String UNREACHABLE = "unreachable: ";

	private final EngineClient client;

	private final Fleet fleet;

	private final Metrics metrics;

	private final InstantSource clock;

	private final AttemptTimeouts timeouts;

	private final long stallMs;

	private final ModelJob job;

	private final Chain chain;

	private final int number;

	private final List<String> emitted;

	private final TokenSink sink;

	Attempt(ModelDependencies services, ModelJob job, Chain chain, int number, List<String> emitted, TokenSink sink) {
		this.client = services.client();
		this.fleet = services.fleet();
		this.metrics = services.metrics();
		this.clock = services.clock();
		this.timeouts = services.timeouts();
		this.stallMs = this.timeouts.stallMs(job.betweenTokensTargetMs());
		this.job = job;
		this.chain = chain;
		this.number = number;
		this.emitted = emitted;
		this.sink = sink;
	}

	AttemptResult run() {
		long leftMs = this.job.deadlineMs() - this.clock.millis();
		if (leftMs <= 0) {
			return new AttemptResult.Failed("", "timed-out", false, false, false);
		}
		GenerateRequest request = new GenerateRequest(this.job.request(), this.number, this.job.model(),
				this.job.version(), this.job.adapter(), this.job.prompt(), List.copyOf(this.emitted),
				this.job.maxTokens(), this.job.rank(), leftMs, this.job.layerCount(), this.chain.stages());
		String head = this.chain.head().server();
		Outcome<EngineStream> outcome = this.client.generate(this.chain.head().address(), request,
				Math.min(leftMs, this.timeouts.firstFrameMs()));
		if (Thread.currentThread().isInterrupted()) {
			if (outcome instanceof Outcome.Completed<EngineStream> completed) {
				completed.value().close();
			}
			return new AttemptResult.Cut();
		}
		return switch (outcome) {
			case Outcome.NotRun<EngineStream> notRun -> refused(head, notRun.reason());
			case Outcome.MayHaveRun<EngineStream> unclear ->
				new AttemptResult.Failed("", unclear.reason(), true, true, true);
			case Outcome.Completed<EngineStream> completed -> {
				try (EngineStream stream = completed.value()) {
					yield read(stream);
				}
				catch (IOException ex) {
					yield new AttemptResult.Cut();
				}
			}
		};
	}

	private AttemptResult refused(String head, String reason) {
		return switch (reason) {
			case "bad-request" -> new AttemptResult.Rejected("an engine refused the request as malformed");
			case "leaving", "overloaded", "wrong-model", "expired", "cancelled" ->
				new AttemptResult.Failed(head, reason, false, false, false);
			default -> new AttemptResult.Failed(head, UNREACHABLE + reason, false, true, false);
		};
	}

	private AttemptResult read(EngineStream stream) throws IOException {
		FrameCheck check = new FrameCheck(this.job.request(), this.number, this.job.layerCount());
		String head = this.chain.head().server();
		while (true) {
			long leftMs = this.job.deadlineMs() - this.clock.millis();
			if (leftMs <= 0) {
				return new AttemptResult.Failed("", "timed-out", true, false, false);
			}
			StreamEvent event = stream.next(Math.min(leftMs, this.stallMs));
			if (Thread.currentThread().isInterrupted()) {
				return new AttemptResult.Cut();
			}
			if (event instanceof StreamEvent.Frame received) {
				AttemptResult result = take(received.frame(), check);
				if (result != null) {
					stream.finish(FINISH_TIMEOUT_MS);
					return result;
				}
			}
			else if (event instanceof StreamEvent.Broken broken) {
				return new AttemptResult.Failed(head, broken.reason(), true, true, true);
			}
			else if (leftMs > this.stallMs) {
				return new AttemptResult.Failed("", "no frame within " + this.stallMs + " ms", true, false, false);
			}
		}
	}

	// Returns the result when the frame ends the attempt, else null.
	private AttemptResult take(EngineFrame frame, FrameCheck check) throws IOException {
		FrameCheck.Verdict verdict = check.check(frame, this.emitted.size());
		if (verdict != FrameCheck.Verdict.ACCEPTED) {
			this.metrics.droppedFrame(verdict.label());
			return (verdict.endsAttempt())
					? new AttemptResult.Failed(this.chain.head().server(), verdict.label(), true, true, false) : null;
		}
		return switch (frame) {
			case EngineFrame.Token token -> {
				this.emitted.add(token.text());
				this.sink.token(token.text());
				yield null;
			}
			case EngineFrame.End end -> ended(end);
			case EngineFrame.Error error -> failed(error);
		};
	}

	private AttemptResult ended(EngineFrame.End end) {
		if (end.loads() != null) {
			end.loads().forEach(this.fleet::recordReport);
		}
		this.fleet.recordStageTimes(this.chain, end.stageTimesUs());
		if (end.tokenCount() != this.emitted.size()) {
			return new AttemptResult.Failed(this.chain.head().server(),
					"end after " + end.tokenCount() + " tokens, " + this.emitted.size() + " received", true, true,
					false);
		}
		return new AttemptResult.Completed((end.reason() != null) ? end.reason() : "stop");
	}

	private AttemptResult failed(EngineFrame.Error error) {
		String code = (error.code() != null) ? error.code() : "stage-failed";
		String server = (error.server() != null) ? error.server() : this.chain.head().server();
		boolean refusal = "leaving".equals(code) || "overloaded".equals(code) || "wrong-model".equals(code)
				|| "cancelled".equals(code) || "expired".equals(code);
		if ("bad-request".equals(code)) {
			return new AttemptResult.Rejected("an engine refused the request as malformed");
		}
		boolean ran = !"no".equals(error.ran()) || !this.emitted.isEmpty();
		return new AttemptResult.Failed(server, code, ran, !refusal, !refusal);
	}

}
