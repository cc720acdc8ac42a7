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
 * Handles {@code POST /v1/stage}: runs this engine's layers for one token and calls the
 * next stage. The HTTP status is 200 also for errors; they are an error frame.
 */
public final class StageHandler {

	private static final Gson GSON = new Gson();

	private static final StageHints NO_HINTS = new StageHints(null, null, null, null, 0, 0, false);

	private final EngineCore core;

	private final LoadReporter reporter;

	private final LayerRunner layerRunner;

	private final SuccessorCaller successor;

	/**
	 * Creates a runner.
	 * @param core state of the engine
	 * @param reporter reporter of the engine's load
	 */
	public StageHandler(EngineCore core, LoadReporter reporter) {
		this.core = core;
		this.reporter = reporter;
		this.layerRunner = new LayerRunner(core);
		this.successor = new SuccessorCaller(core);
	}

	/**
	 * Handles a request.
	 * @param exchange the request and its response
	 * @throws Exception if the connection breaks
	 */
	public void handle(Exchange exchange) throws Exception {
		StageCall call = GSON.fromJson(exchange.body(), StageCall.class);
		if (call == null || call.request() == null || call.chain() == null || call.chain().isEmpty()
				|| call.priority() == null) {
			throw new IllegalArgumentException("request, priority and chain are required");
		}
		StageRequest request = call.stageRequest();
		StageHints hints = (call.hints() != null) ? call.hints() : NO_HINTS;
		this.core.running().run(exchange, request.request(), request.attempt(), () -> {
			this.core.faults().awaitUnfrozen();
			exchange.sendJson(200, answer(request, hints));
		});
	}

	private String answer(StageRequest request, StageHints hints) throws InterruptedException {
		boolean ran = false;
		try {
			long startNs = System.nanoTime();
			Stage own = request.chain().get(0);
			this.layerRunner.check(own, hints);
			long output = this.layerRunner.run(
					new LayerRunner.Step(request.request(), request.attempt(), request.position(), request.activation(),
							request.priority(), LayerRunner.deadlineNs(request.deadlineMs()), own),
					hints);
			ran = true;
			long timeUs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
			return GSON.toJson(result(request, hints, output, timeUs));
		}
		catch (StageFailure ex) {
			return EngineFrameCodec.encode(new EngineFrame.Error(request.request(), request.attempt(),
					(ran) ? "unknown" : "no", ex.server(), request.position(), ex.code(), ex.getMessage()));
		}
	}

	private StageResult result(StageRequest request, StageHints hints, long output, long timeUs)
			throws StageFailure, InterruptedException {
		Stage own = request.chain().get(0);
		List<LayerRange> layers = new ArrayList<>(List.of(new LayerRange(own.fromLayer(), own.toLayer())));
		List<Long> timesUs = new ArrayList<>(List.of(timeUs));
		List<EngineReport> loads = new ArrayList<>();
		if (hints.report()) {
			loads.add(this.reporter.report());
		}
		long activation = output;
		if (request.chain().size() > 1) {
			long leftMs = Math.max(1, request.deadlineMs() - TimeUnit.MICROSECONDS.toMillis(timeUs));
			StageResult later = this.successor
				.call(new StageRequest(request.request(), request.attempt(), request.position(), output,
						request.priority(), leftMs, request.chain().subList(1, request.chain().size())), hints);
			activation = later.activation();
			layers.addAll(later.layers());
			timesUs.addAll(later.stageTimesUs());
			loads.addAll(later.loads());
		}
		return new StageResult(request.request(), request.attempt(), request.position(), activation, layers, timesUs,
				loads);
	}

}
