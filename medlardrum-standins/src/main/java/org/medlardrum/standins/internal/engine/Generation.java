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
 * One request at the head of its chain. Confined to one thread.
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

	private boolean anythingRan;

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
	boolean anythingRan() {
		return this.anythingRan;
	}

	void run() throws StageFailure, InterruptedException, IOException {
		TokenFunction function = new TokenFunction(this.request.model(), this.request.adapter(), this.request.prompt());
		int first = this.position;
		int length = function.completionLength(this.request.maxTokens());
		long history = function.historyHash(this.request.emitted());
		while (this.position < length) {
			StageHints hints = StageHints.of(this.request, this.position == first, this.arrivedAtUs,
					this.position == length - 1);
			StageResult result = step(TokenFunction.initialActivation(history, this.position), hints);
			String token = TokenFunction.decodeToken(result.activation());
			history = TokenFunction.extendHistoryHash(history, token);
			write(new EngineFrame.Token(this.request.request(), this.request.attempt(), this.position, token,
					result.layers()));
			this.position++;
		}
		int steps = Math.max(1, length - first);
		List<Long> meanTimesUs = new ArrayList<>();
		for (long timeUs : this.stageTimesUs) {
			meanTimesUs.add(timeUs / steps);
		}
		write(new EngineFrame.End(this.request.request(), this.request.attempt(), length,
				function.endReason(this.request.maxTokens()), this.loads, meanTimesUs));
	}

	private StageResult step(long activation, StageHints hints) throws StageFailure, InterruptedException {
		List<Stage> chain = this.request.chain();
		Stage own = chain.get(0);
		this.layerRunner.check(own, hints);
		long startNs = System.nanoTime();
		long output = this.layerRunner.run(new LayerRunner.Step(this.request.request(), this.request.attempt(),
				this.position, activation, this.request.priority(), this.deadlineNs, own), hints);
		this.anythingRan = true;
		this.stageTimesUs[0] += TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
		List<LayerRange> layers = new ArrayList<>(List.of(new LayerRange(own.fromLayer(), own.toLayer())));
		List<EngineReport> reports = new ArrayList<>();
		if (hints.report()) {
			reports.add(this.reporter.report());
		}
		if (chain.size() > 1) {
			StageResult later = this.successor.call(new StageRequest(this.request.request(), this.request.attempt(),
					this.position, output, this.request.priority(), deadlineLeftMs(), chain.subList(1, chain.size())),
					hints);
			output = later.activation();
			layers.addAll(later.layers());
			reports.addAll(later.loads());
			addStageTimes(later.stageTimesUs());
		}
		this.loads = reports;
		return new StageResult(this.request.request(), this.request.attempt(), this.position, output, layers, List.of(),
				reports);
	}

	private void addStageTimes(List<Long> laterTimesUs) {
		for (int i = 0; i < laterTimesUs.size() && i + 1 < this.stageTimesUs.length; i++) {
			this.stageTimesUs[i + 1] += laterTimesUs.get(i);
		}
	}

	private long deadlineLeftMs() throws StageFailure {
		long leftMs = TimeUnit.NANOSECONDS.toMillis(this.deadlineNs - System.nanoTime());
		if (leftMs <= 0) {
			throw this.layerRunner.failure("expired", "the deadline passed during the request");
		}
		return leftMs;
	}

	private void write(EngineFrame frame) throws IOException {
		this.lines.write(EngineFrameCodec.encode(frame));
	}

}
