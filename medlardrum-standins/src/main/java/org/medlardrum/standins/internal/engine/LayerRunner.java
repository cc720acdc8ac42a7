package org.medlardrum.standins.internal.engine;

import java.util.concurrent.TimeUnit;

import org.medlardrum.standins.EngineSettings;
import org.medlardrum.standins.TokenFunction;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.Rank;
import org.medlardrum.state.Stage;

/**
 * Runs the layers of one engine for one token.
 */
final class LayerRunner {

	private final EngineCore core;

	LayerRunner(EngineCore core) {
		this.core = core;
	}

	// Checks whether the engine can run a stage of a sequence.
	void check(Stage stage, StageHints hints) throws StageFailure {
		EngineSettings settings = this.core.settings();
		if (this.core.faults().failFast()) {
			throw failure("stage-failed", "the engine fails every request");
		}
		if (hints.prompt() != null && this.core.faults().leaving()) {
			throw failure("leaving", "the engine is about to stop");
		}
		if (hints.prompt() != null && this.core.running().size() > settings.maxSequences()) {
			throw failure("overloaded", "the engine runs " + settings.maxSequences() + " sequences");
		}
		if (!settings.id().equals(stage.server())) {
			throw failure("bad-request", "the chain names \"" + stage.server() + "\" at this address");
		}
		if (stage.fromLayer() < settings.fromLayer() || stage.toLayer() > settings.toLayer()
				|| stage.fromLayer() >= stage.toLayer()) {
			throw failure("bad-request",
					"layers [" + stage.fromLayer() + ", " + stage.toLayer() + ") are not held by the engine");
		}
		if (hints.model() != null && !this.core.holdings().serves(hints.model(), hints.version())) {
			throw failure("wrong-model",
					"model \"" + hints.model() + "\" version \"" + hints.version() + "\" is not loaded");
		}
	}

	// Runs the layers, with prefill if the sequence is new here.
	long run(Step step, StageHints hints) throws StageFailure, InterruptedException {
		Stage stage = step.stage();
		LayerRange layers = new LayerRange(stage.fromLayer(), stage.toLayer());
		EngineSettings settings = this.core.settings();
		if (!this.core.holdings().holdsAdapter(hints.adapter())) {
			Thread.sleep(settings.adapterLoadMs());
			this.core.holdings().addAdapter(hints.adapter());
		}
		double timeUs = (settings.layerTimeUs() + settings.prefillLayerTimeUs() * prefillTokens(step, hints))
				* layers.length();
		long durationNs = (long) (timeUs * 1000 * this.core.faults().slowFactor());
		if (!this.core.scheduler().run(step.rank(), hints.arrivedAtUs(), durationNs, step.deadlineNs())) {
			throw failure("expired", "the deadline passed before the step started");
		}
		if (this.core.faults().crashesOn(hints.prompt())) {
			this.core.crash();
			throw new InterruptedException("the engine crashed");
		}
		this.core.faults().awaitUnfrozen();
		this.core.ledger()
			.add(new LedgerEntry(step.request(), step.attempt(), step.position(), stage.fromLayer(), stage.toLayer()));
		this.core.kvCache().put(step.request(), step.position() + 1);
		return TokenFunction.applyLayers(step.activation(), layers);
	}

	StageFailure failure(String code, String detail) {
		return new StageFailure(this.core.settings().id(), code, detail);
	}

	private int prefillTokens(Step step, StageHints hints) {
		String prompt = hints.prompt();
		if (prompt == null) {
			return 0;
		}
		String adapter = (hints.adapter() != null) ? hints.adapter() : "";
		int hitChars = this.core.prefixCache().use(hints.model(), adapter, prompt);
		if (this.core.kvCache().get(step.request()) >= step.position()) {
			return 0;
		}
		return words(prompt.substring(hitChars)) + hints.emittedTokens();
	}

	private static int words(String text) {
		return (text.isBlank()) ? 0 : text.strip().split("\\s+").length;
	}

	static long deadlineNs(long deadlineMs) {
		long leftMs = (deadlineMs > 0) ? Math.min(deadlineMs, TimeUnit.DAYS.toMillis(1)) : TimeUnit.DAYS.toMillis(1);
		return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(leftMs);
	}

	/**
	 * One token at one stage.
	 */
	record Step(String request, int attempt, int position, long activation, Rank rank, long deadlineNs, Stage stage) {
	}

}
