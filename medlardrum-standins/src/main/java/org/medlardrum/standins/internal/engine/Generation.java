package org.medlardrum.standins.internal.engine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.medlardrum.protocol.engine.EngineFrame;
import org.medlardrum.protocol.engine.EngineFrameCodec;
import org.medlardrum.protocol.engine.GenerateRequest;
import org.medlardrum.protocol.engine.StageRequest;
import org.medlardrum.standins.TokenFunction;
import org.medlardrum.standins.internal.http.LineWriter;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.Stage;

/**
 * Generates the tokens of one request at the head engine of its chain. Confined to one
 * thread.
 */
final class Generation {

	private final EngineCore core;

	private final LoadReporter reporter;

	private final GenerateRequest request;

	private final LineWriter lines;

	private final LayerRunner layerRunner;

	private final SuccessorCaller successor;

	private final long arrivedAtUs = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());

	private final long deadlineNs;

	private final long[] stageTimesUs;

	private List<EngineReport> loads = List.of();

	private int position;

	private boolean stepMayHaveRun;

	Generation(EngineCore core, LoadReporter reporter, GenerateRequest request, LineWriter lines) {
		this.core = core;
		this.reporter = reporter;
		this.request = request;
		this.lines = lines;
		this.layerRunner = new LayerRunner(core);
		this.successor = new SuccessorCaller(core);
		this.deadlineNs = LayerRunner.deadlineNs(request.deadlineMs());
		this.stageTimesUs = new long[request.chain().size()];
		this.position = request.emitted().size();
	}

	GenerateRequest request() {
		return this.request;
	}

	int position() {
		return this.position;
	}

	// Returns whether a step may have run on any engine.
	boolean stepMayHaveRun() {
		return this.stepMayHaveRun;
	}

	void run() throws StageFailure, InterruptedException, IOException {
		TokenFunction function = new TokenFunction(this.request.model(), this.request.adapter(), this.request.prompt());
		int firstPosition = this.position;
		int completionLength = function.completionLength(this.request.maxTokens());
		long history = function.historyHash(this.request.emitted());
		while (this.position < completionLength) {
			StageHints hints = StageHints.of(this.request, this.position == firstPosition, this.arrivedAtUs,
					this.position == completionLength - 1);
			StageResult result = step(TokenFunction.initialActivation(history, this.position), hints);
			String token = TokenFunction.decodeToken(result.activation());
			history = TokenFunction.extendHistoryHash(history, token);
			writeFrame(new EngineFrame.Token(this.request.request(), this.request.attempt(), this.position, token,
					result.layers()));
			this.position++;
		}
		int steps = Math.max(1, completionLength - firstPosition);
		List<Long> meanTimesUs = new ArrayList<>();
		for (long timeUs : this.stageTimesUs) {
			meanTimesUs.add(timeUs / steps);
		}
		writeFrame(new EngineFrame.End(this.request.request(), this.request.attempt(), completionLength,
				function.endReason(this.request.maxTokens()), this.loads, meanTimesUs));
	}

	private StageResult step(long activation, StageHints hints) throws StageFailure, InterruptedException {
		List<Stage> chain = this.request.chain();
		Stage ownStage = chain.get(0);
		this.layerRunner.checkAccepted(ownStage, hints);
		long startNs = System.nanoTime();
		long output = this.layerRunner.run(new LayerRunner.Step(this.request.request(), this.request.attempt(),
				this.position, activation, this.request.priority(), this.deadlineNs, ownStage), hints);
		this.stepMayHaveRun = true;
		this.stageTimesUs[0] += TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
		List<LayerRange> layers = new ArrayList<>(List.of(new LayerRange(ownStage.fromLayer(), ownStage.toLayer())));
		List<EngineReport> reports = new ArrayList<>();
		if (hints.report()) {
			reports.add(this.reporter.report());
		}
		if (chain.size() > 1) {
			StageResult successorResult = this.successor
				.call(new StageRequest(this.request.request(), this.request.attempt(), this.position, output,
						this.request.priority(), remainingMs(), chain.subList(1, chain.size())), hints);
			output = successorResult.activation();
			layers.addAll(successorResult.layers());
			reports.addAll(successorResult.loads());
			addSuccessorStageTimes(successorResult.stageTimesUs());
		}
		this.loads = reports;
		return new StageResult(this.request.request(), this.request.attempt(), this.position, output, layers, List.of(),
				reports);
	}

	private void addSuccessorStageTimes(List<Long> successorTimesUs) {
		for (int i = 0; i < successorTimesUs.size() && i + 1 < this.stageTimesUs.length; i++) {
			this.stageTimesUs[i + 1] += successorTimesUs.get(i);
		}
	}

	private long remainingMs() throws StageFailure {
		long remainingMs = TimeUnit.NANOSECONDS.toMillis(this.deadlineNs - System.nanoTime());
		if (remainingMs <= 0) {
			throw this.layerRunner.newFailure("expired", "the deadline passed during the request");
		}
		return remainingMs;
	}

	private void writeFrame(EngineFrame frame) throws IOException {
		this.lines.write(EngineFrameCodec.encode(frame));
	}

}
