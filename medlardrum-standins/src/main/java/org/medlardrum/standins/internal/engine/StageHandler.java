package org.medlardrum.standins.internal.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.gson.Gson;
import org.medlardrum.protocol.engine.EngineFrame;
import org.medlardrum.protocol.engine.EngineFrameCodec;
import org.medlardrum.protocol.engine.StageRequest;
import org.medlardrum.standins.internal.http.Exchange;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.Stage;

/**
 * Handles {@code POST /v1/stage}: runs the layers of this engine for one token and calls
 * the next stage. A failed stage also gets HTTP status 200, with an error frame.
 */
public final class StageHandler {

	private static final Gson GSON = new Gson();

	private static final StageHints NO_HINTS = new StageHints(null, null, null, null, 0, 0, false);

	private final EngineCore core;

	private final LoadReporter reporter;

	private final LayerRunner layerRunner;

	private final SuccessorCaller successor;

	/**
	 * Creates a handler.
	 * @param core shared state of the engine
	 * @param reporter reporter of the engine's load
	 */
	public StageHandler(EngineCore core, LoadReporter reporter) {
		this.core = core;
		this.reporter = reporter;
		this.layerRunner = new LayerRunner(core);
		this.successor = new SuccessorCaller(core);
	}

	/**
	 * Handles a stage request.
	 * @param exchange the request and its response
	 * @throws Exception if the connection breaks
	 */
	public void handle(Exchange exchange) throws Exception {
		StageRequestWithHints requestWithHints = GSON.fromJson(exchange.body(), StageRequestWithHints.class);
		if (requestWithHints == null || requestWithHints.request() == null || requestWithHints.chain() == null
				|| requestWithHints.chain().isEmpty() || requestWithHints.priority() == null) {
			throw new IllegalArgumentException("request, priority and chain are required");
		}
		StageRequest request = requestWithHints.stageRequest();
		StageHints hints = (requestWithHints.hints() != null) ? requestWithHints.hints() : NO_HINTS;
		this.core.activeRequests().run(exchange, request.request(), request.attempt(), () -> {
			this.core.faults().awaitUnfrozen();
			exchange.sendJson(200, runStage(request, hints));
		});
	}

	private String runStage(StageRequest request, StageHints hints) throws InterruptedException {
		boolean layersRan = false;
		try {
			long startNs = System.nanoTime();
			Stage ownStage = request.chain().get(0);
			this.layerRunner.checkAccepted(ownStage, hints);
			long output = this.layerRunner.run(
					new LayerRunner.Step(request.request(), request.attempt(), request.position(), request.activation(),
							request.priority(), LayerRunner.deadlineNs(request.deadlineMs()), ownStage),
					hints);
			layersRan = true;
			long timeUs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
			return GSON.toJson(result(request, hints, output, timeUs));
		}
		catch (StageFailure ex) {
			return EngineFrameCodec.encode(new EngineFrame.Error(request.request(), request.attempt(),
					(layersRan) ? "unknown" : "no", ex.server(), request.position(), ex.code(), ex.getMessage()));
		}
	}

	private StageResult result(StageRequest request, StageHints hints, long output, long timeUs)
			throws StageFailure, InterruptedException {
		Stage ownStage = request.chain().get(0);
		List<LayerRange> layers = new ArrayList<>(List.of(new LayerRange(ownStage.fromLayer(), ownStage.toLayer())));
		List<Long> timesUs = new ArrayList<>(List.of(timeUs));
		List<EngineReport> loads = new ArrayList<>();
		if (hints.report()) {
			loads.add(this.reporter.report());
		}
		long activation = output;
		if (request.chain().size() > 1) {
			long remainingMs = Math.max(1, request.deadlineMs() - TimeUnit.MICROSECONDS.toMillis(timeUs));
			StageResult successorResult = this.successor.call(
					new StageRequest(request.request(), request.attempt(), request.position(), output,
							request.priority(), remainingMs, request.chain().subList(1, request.chain().size())),
					hints);
			activation = successorResult.activation();
			layers.addAll(successorResult.layers());
			timesUs.addAll(successorResult.stageTimesUs());
			loads.addAll(successorResult.loads());
		}
		return new StageResult(request.request(), request.attempt(), request.position(), activation, layers, timesUs,
				loads);
	}

}
