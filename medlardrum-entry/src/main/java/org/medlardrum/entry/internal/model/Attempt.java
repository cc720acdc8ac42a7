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
 * One attempt to run a request on one chain. Used only by the request's thread.
 */
final class Attempt {

	/**
	 * Time limit for reading the rest of a response after the attempt has ended, so that
	 * its engine does not see a cancelled call.
	 */
	private static final long FINISH_TIMEOUT_MS = 100;

	/**
	 * Prefix of the failure code when the attempt did not run for a reason that is not
	 * one of the known refusals, usually because the first engine did not accept the
	 * connection. The first engine then counts as unreachable.
	 */
	static final String UNREACHABLE = "unreachable: ";

	private final EngineClient client;

	private final Fleet fleet;

	private final Metrics metrics;

	private final InstantSource clock;

	private final AttemptTimeouts timeouts;

	private final long stallTimeoutMs;

	private final ModelJob job;

	private final Chain chain;

	private final int number;

	private final List<String> emitted;

	private final TokenSink sink;

	private final SilenceHandler silence;

	Attempt(ModelDependencies dependencies, ModelJob job, Chain chain, int number, List<String> emitted, TokenSink sink,
			SilenceHandler silence) {
		this.client = dependencies.client();
		this.fleet = dependencies.fleet();
		this.metrics = dependencies.metrics();
		this.clock = dependencies.clock();
		this.timeouts = dependencies.timeouts();
		this.stallTimeoutMs = this.timeouts.stallTimeoutMs(job.betweenTokensTargetMs());
		this.job = job;
		this.chain = chain;
		this.number = number;
		this.emitted = emitted;
		this.sink = sink;
		this.silence = silence;
	}

	AttemptResult execute() {
		long remainingMs = remainingMs();
		if (remainingMs <= 0) {
			return new AttemptResult.Failed("", "timed-out", false, false, false);
		}
		GenerateRequest request = new GenerateRequest(this.job.requestId(), this.number, this.job.model(),
				this.job.version(), this.job.adapter(), this.job.prompt(), List.copyOf(this.emitted),
				this.job.maxTokens(), this.job.rank(), remainingMs, this.job.layerCount(), this.chain.stages());
		try (FrameReader reader = new FrameReader(
				() -> this.client.generate(this.chain.head().address(), request, remainingMs), this::remainingMs)) {
			AttemptResult end = awaitFirstFrame(reader);
			return (end != null) ? end : onStarted(reader);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new AttemptResult.Cut();
		}
		catch (IOException ex) {
			// Only the sink throws, when the caller has disconnected.
			return new AttemptResult.Cut();
		}
	}

	private long remainingMs() {
		return this.job.deadlineMs() - this.clock.millis();
	}

	// Returns the result if the attempt ends before its first frame, else null.
	private AttemptResult awaitFirstFrame(FrameReader reader) throws InterruptedException {
		long startMs = this.clock.millis();
		long waitMs = this.timeouts.firstFrameTimeoutMs();
		while (true) {
			long remainingMs = remainingMs();
			if (remainingMs <= 0) {
				return new AttemptResult.Failed("", "timed-out", true, false, false);
			}
			if (reader.awaitStart(Math.min(remainingMs, waitMs))) {
				return null;
			}
			if (remainingMs > waitMs) {
				this.silence.probe();
				if (reader.awaitStart(0)) {
					return null;
				}
				AttemptResult end = this.silence.decide(this.clock.millis() - startMs);
				if (end != null) {
					return end;
				}
			}
			waitMs = this.stallTimeoutMs;
		}
	}

	private AttemptResult onStarted(FrameReader reader) throws IOException, InterruptedException {
		return switch (reader.outcome()) {
			case Outcome.NotRun<EngineStream> notRun -> onNotRun(this.chain.head().server(), notRun.reason());
			case Outcome.MayHaveRun<EngineStream> unclear ->
				// Any engine of the chain may have failed, so no server is named and all
				// are probed. Without a server, the two flags of a fault have no effect.
				new AttemptResult.Failed("", unclear.reason(), true, true, true);
			case Outcome.Completed<EngineStream> completed -> readFrames(reader);
		};
	}

	private AttemptResult onNotRun(String head, String reason) {
		return switch (reason) {
			case "bad-request" -> new AttemptResult.Rejected("an engine refused the request as malformed");
			case "leaving", "overloaded", "wrong-model", "expired", "cancelled" ->
				new AttemptResult.Failed(head, reason, false, false, false);
			case null -> new AttemptResult.Failed(head, "refused without a reason", false, false, false);
			default -> new AttemptResult.Failed(head, UNREACHABLE + reason, false, true, false);
		};
	}

	private AttemptResult readFrames(FrameReader reader) throws IOException, InterruptedException {
		FrameValidator validator = new FrameValidator(this.job.requestId(), this.number, this.job.layerCount());
		long lastFrameMs = this.clock.millis();
		while (true) {
			long remainingMs = remainingMs();
			if (remainingMs <= 0) {
				return new AttemptResult.Failed("", "timed-out", true, false, false);
			}
			StreamEvent event = reader.next(Math.min(remainingMs, this.stallTimeoutMs));
			// A timeout is a stall, unless the wait was shortened to the deadline: then
			// the next round reports the deadline.
			boolean stalled = event instanceof StreamEvent.TimedOut && remainingMs > this.stallTimeoutMs;
			if (stalled) {
				this.silence.probe();
				event = reader.next(0);
			}
			AttemptResult end = switch (event) {
				case StreamEvent.Frame received -> onFrame(received.frame(), validator);
				case StreamEvent.Broken broken ->
					new AttemptResult.Failed(this.chain.head().server(), broken.reason(), true, true, true);
				case StreamEvent.TimedOut none ->
					(stalled) ? this.silence.decide(this.clock.millis() - lastFrameMs) : null;
			};
			if (event instanceof StreamEvent.Frame) {
				lastFrameMs = this.clock.millis();
				if (end != null) {
					reader.awaitEnd(FINISH_TIMEOUT_MS);
				}
			}
			if (end != null) {
				return end;
			}
		}
	}

	// Returns the result if the frame ends the attempt, else null.
	private AttemptResult onFrame(EngineFrame frame, FrameValidator validator) throws IOException {
		FrameValidator.Verdict verdict = validator.validate(frame, this.emitted.size());
		if (verdict != FrameValidator.Verdict.ACCEPTED) {
			this.metrics.droppedFrame(verdict.label());
			return (verdict.endsAttempt())
					? new AttemptResult.Failed(this.chain.head().server(), verdict.label(), true, true, false) : null;
		}
		return switch (frame) {
			case EngineFrame.Token token -> {
				this.emitted.add(token.text());
				this.sink.onToken(token.text());
				yield null;
			}
			case EngineFrame.End end -> onEnd(end);
			case EngineFrame.Error error -> onError(error);
		};
	}

	private AttemptResult onEnd(EngineFrame.End end) {
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

	private AttemptResult onError(EngineFrame.Error error) {
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
