package org.medlardrum.standins.internal.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.medlardrum.decisions.pool.PoolServer;
import org.medlardrum.state.routing.ModelPool;

/**
 * Model of one engine. It processes work in batched passes: a pass includes all sequences
 * that wait for a decode step and as many prompt tokens as a prefill chunk has, and its
 * duration grows with each of them.
 */
final class EngineModel {

	private static final double TOKENS_PER_KILOTOKEN = 1_000;

	private final SimulationQueue queue;

	private final ModelPool pool;

	private final ExperimentFile.Engine parameters;

	private final PoolServer server;

	private final Deque<WorkItem> waiting = new ArrayDeque<>();

	private long usedTokenLayers;

	private boolean passInProgress;

	private boolean failed;

	private double failedAtMs;

	/** Number of failures so far; a pass that began before a failure has no effect. */
	private int incarnation;

	EngineModel(SimulationQueue queue, ModelPool pool, ExperimentFile.Engine parameters, PoolServer server) {
		this.queue = queue;
		this.pool = pool;
		this.parameters = parameters;
		this.server = server;
	}

	PoolServer server() {
		return this.server;
	}

	boolean isFailed() {
		return this.failed;
	}

	// Returns whether the engine failed at least the lag of reports ago.
	boolean isFailureReported() {
		return this.failed && this.queue.nowMs() - this.failedAtMs >= this.parameters.reportLagMs();
	}

	void fail() {
		this.failed = true;
		this.failedAtMs = this.queue.nowMs();
		this.incarnation++;
		this.waiting.clear();
		this.passInProgress = false;
		this.usedTokenLayers = 0;
	}

	void recover() {
		this.failed = false;
	}

	/**
	 * Reserves KV cache memory for a request.
	 * @param tokenLayers number of tokens times number of layers
	 * @return {@code false} if there is not enough free memory
	 */
	boolean reserveMemory(long tokenLayers) {
		long capacity = this.pool.tokenLayerCapacity(this.server.acceleratorKind(), this.server.layers().length());
		if (this.usedTokenLayers + tokenLayers > capacity) {
			return false;
		}
		this.usedTokenLayers += tokenLayers;
		return true;
	}

	void releaseMemory(long tokenLayers) {
		this.usedTokenLayers = Math.max(0, this.usedTokenLayers - tokenLayers);
	}

	void add(WorkItem item) {
		if (this.failed) {
			return;
		}
		this.waiting.add(item);
		if (!this.passInProgress) {
			startPass();
		}
	}

	private void startPass() {
		List<WorkItem> items = new ArrayList<>();
		List<WorkItem> deferred = new ArrayList<>();
		int promptTokens = 0;
		for (WorkItem item : this.waiting) {
			if (item.isEnded()) {
				continue;
			}
			// The first prefill item is included even if it alone exceeds the chunk.
			if (item.promptTokens() > 0 && promptTokens > 0
					&& promptTokens + item.promptTokens() > this.parameters.pieceTokens()) {
				deferred.add(item);
				continue;
			}
			promptTokens += item.promptTokens();
			items.add(item);
		}
		this.waiting.clear();
		this.waiting.addAll(deferred);
		if (items.isEmpty()) {
			return;
		}
		this.passInProgress = true;
		int passIncarnation = this.incarnation;
		this.queue.schedule(durationMs(items), () -> {
			if (passIncarnation == this.incarnation) {
				this.passInProgress = false;
				items.forEach(WorkItem::onProcessed);
				if (!this.passInProgress) {
					startPass();
				}
			}
		});
	}

	private double durationMs(List<WorkItem> items) {
		double stepFraction = 0;
		double sequencesMs = 0;
		double prefillMs = 0;
		for (WorkItem item : items) {
			double layerFraction = (double) item.layers() / this.pool.layers();
			if (item.promptTokens() > 0) {
				prefillMs += layerFraction * item.promptTokens() / this.pool.prefillTokensPerMs();
			}
			else {
				stepFraction = Math.max(stepFraction, layerFraction);
				sequencesMs += layerFraction * (this.pool.perSequenceMs()
						+ item.contextTokens() / TOKENS_PER_KILOTOKEN * this.pool.contextMsPerKiloToken());
			}
		}
		double stepsMs = this.parameters.tokensPerEvent() * (stepFraction * this.pool.stepMs() + sequencesMs);
		return stepsMs * this.server.acceleratorKind().stepFactor()
				+ prefillMs * this.server.acceleratorKind().prefillFactor();
	}

	/**
	 * Work of one request at one engine in one pass.
	 */
	interface WorkItem {

		// Prompt tokens to prefill, 0 for a decode step.
		int promptTokens();

		int contextTokens();

		int layers();

		boolean isEnded();

		void onProcessed();

	}

}
