package org.medlardrum.standins.internal.engine;

import java.util.concurrent.TimeUnit;

import org.medlardrum.standins.EngineSettings;
import org.medlardrum.standins.TokenFunction;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.Rank;
import org.medlardrum.state.Stage;

/**
 * Runs the layers of one engine for one token at a time.
 */
final class LayerRunner {

	private final EngineCore core;

	LayerRunner(EngineCore core) {
		this.core = core;
	}

	// Throws if the engine cannot run a stage of a sequence.
	void checkAccepted(Stage stage, StageHints hints) throws StageFailure {
		EngineSettings settings = this.core.settings();
		if (this.core.faults().failFast()) {
			throw newFailure("stage-failed", "the engine fails every request");
		}
		// The prompt is present only in the first step of a sequence.
		if (hints.prompt() != null && this.core.faults().leaving()) {
			throw newFailure("leaving", "the engine is about to stop");
		}
		// The active requests already include the one that is checked.
		if (hints.prompt() != null && this.core.activeRequests().size() > settings.maxSequences()) {
			throw newFailure("overloaded", "the engine runs " + settings.maxSequences() + " sequences");
		}
		if (!settings.id().equals(stage.server())) {
			throw newFailure("bad-request", "the chain names \"" + stage.server() + "\" at this address");
		}
		if (stage.fromLayer() < settings.fromLayer() || stage.toLayer() > settings.toLayer()
				|| stage.fromLayer() >= stage.toLayer()) {
			throw newFailure("bad-request",
					"layers [" + stage.fromLayer() + ", " + stage.toLayer() + ") are not held by the engine");
		}
		if (hints.model() != null && !this.core.state().serves(hints.model(), hints.version())) {
			throw newFailure("wrong-model",
					"model \"" + hints.model() + "\" version \"" + hints.version() + "\" is not loaded");
		}
	}

	// Runs the layers, after a prefill if this engine has not cached the sequence.
	long run(Step step, StageHints hints) throws StageFailure, InterruptedException {
		Stage stage = step.stage();
		LayerRange layers = new LayerRange(stage.fromLayer(), stage.toLayer());
		EngineSettings settings = this.core.settings();
		if (!this.core.state().hasAdapter(hints.adapter())) {
			Thread.sleep(settings.adapterLoadMs());
			this.core.state().addAdapter(hints.adapter());
		}
		double timeUs = (settings.layerTimeUs() + settings.prefillLayerTimeUs() * prefillTokens(step, hints))
				* layers.length();
		long durationNs = (long) (timeUs * 1000 * this.core.faults().slowFactor());
		if (!this.core.scheduler().run(step.rank(), hints.arrivedAtUs(), durationNs, step.deadlineNs())) {
			throw newFailure("expired", "the deadline passed before the step started");
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

	StageFailure newFailure(String code, String detail) {
		return new StageFailure(this.core.settings().id(), code, detail);
	}

	// Returns the number of tokens to prefill, counting each word of the prompt as one.
	private int prefillTokens(Step step, StageHints hints) {
		String prompt = hints.prompt();
		if (prompt == null) {
			return 0;
		}
		String adapter = (hints.adapter() != null) ? hints.adapter() : "";
		// Stores the prefixes of the prompt also when the sequence needs no prefill.
		int cachedChars = this.core.prefixCache().lookUpAndStore(hints.model(), adapter, prompt);
		if (this.core.kvCache().get(step.request()) >= step.position()) {
			return 0;
		}
		return countWords(prompt.substring(cachedChars)) + hints.emittedTokens();
	}

	private static int countWords(String text) {
		return (text.isBlank()) ? 0 : text.strip().split("\\s+").length;
	}

	// Converts the time left, in milliseconds, to a deadline on the monotonic clock. The
	// time is limited to one day; 0 stands for one day as well.
	static long deadlineNs(long deadlineMs) {
		long remainingMs = (deadlineMs > 0) ? Math.min(deadlineMs, TimeUnit.DAYS.toMillis(1))
				: TimeUnit.DAYS.toMillis(1);
		return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remainingMs);
	}

	/**
	 * One token to run at one stage.
	 *
	 * @param request identifier of the request
	 * @param attempt number of the attempt
	 * @param position position of the token
	 * @param activation output of the previous stage, or the initial activation
	 * @param rank rank of the request
	 * @param deadlineNs deadline on the monotonic clock, in nanoseconds
	 * @param stage the stage
	 */
	record Step(String request, int attempt, int position, long activation, Rank rank, long deadlineNs, Stage stage) {
	}

}
