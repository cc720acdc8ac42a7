package org.medlardrum.standins.internal.engine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.gson.Gson;
import org.medlardrum.protocol.engine.EngineFrame;
import org.medlardrum.protocol.engine.EngineFrameCodec;
import org.medlardrum.protocol.engine.GenerateRequest;
import org.medlardrum.standins.internal.http.Exchange;
import org.medlardrum.standins.internal.http.LineWriter;

/**
 * Handles {@code POST /v1/generate}: drives each token through the chain and streams the
 * frames. The HTTP status is 200 also for refusals; they are an error frame.
 */
public final class GenerateHandler {

	private static final Gson GSON = new Gson();

	private final EngineCore core;

	private final LoadReporter reporter;

	/**
	 * Creates a runner.
	 * @param core state of the engine
	 * @param reporter reporter of the engine's load
	 */
	public GenerateHandler(EngineCore core, LoadReporter reporter) {
		this.core = core;
		this.reporter = reporter;
	}

	/**
	 * Handles a request.
	 * @param exchange the request and its response
	 * @throws Exception if the connection breaks
	 */
	public void handle(Exchange exchange) throws Exception {
		GenerateRequest request = normalise(GSON.fromJson(exchange.body(), GenerateRequest.class));
		String bootId = this.core.holdings().bootId();
		this.core.running().run(exchange, request.request(), request.attempt(), () -> {
			this.core.faults().awaitUnfrozen();
			LineWriter lines = exchange.startLines();
			Generation generation = new Generation(this.core, this.reporter, request, lines);
			try {
				generation.run();
			}
			catch (StageFailure ex) {
				writeError(generation, lines, ex.server(), ex.code(), ex.getMessage());
			}
			catch (InterruptedException ex) {
				if (!bootId.equals(this.core.holdings().bootId())) {
					lines.abort();
					throw new IOException("the engine crashed", ex);
				}
				writeError(generation, lines, this.core.settings().id(), "cancelled", "cancelled");
			}
			lines.close();
		});
	}

	private void writeError(Generation generation, LineWriter lines, String server, String code, String detail)
			throws IOException {
		GenerateRequest request = generation.request();
		lines.write(EngineFrameCodec.encode(new EngineFrame.Error(request.request(), request.attempt(),
				(generation.anythingRan()) ? "unknown" : "no", server, generation.position(), code, detail)));
	}

	private static GenerateRequest normalise(GenerateRequest request) {
		if (request == null || request.request() == null || request.model() == null || request.prompt() == null
				|| request.chain() == null || request.chain().isEmpty() || request.priority() == null) {
			throw new IllegalArgumentException("request, model, prompt, priority and chain are required");
		}
		return new GenerateRequest(request.request(), request.attempt(), request.model(), request.version(),
				request.adapter(), request.prompt(),
				(request.emitted() != null) ? List.copyOf(request.emitted()) : new ArrayList<>(), request.maxTokens(),
				request.priority(), (request.deadlineMs() > 0) ? request.deadlineMs() : TimeUnit.HOURS.toMillis(1),
				request.layerCount(), request.chain());
	}

}
