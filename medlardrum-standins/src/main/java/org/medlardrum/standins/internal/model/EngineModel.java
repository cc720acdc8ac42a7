package org.medlardrum.standins.internal.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.medlardrum.decisions.pool.PoolServer;
import org.medlardrum.state.routing.ModelPool;

/**
 * One engine. It works in passes: a pass takes all sequences that wait for a step and as
 * many prompt tokens as a piece holds, and takes time for each of them.
 */
final class EngineModel {

	private static final double TOKENS_PER_KILO = 1_000;

	private final SimulationQueue queue;

	private final ModelPool pool;

	private final ExperimentFile.Engine figures;

	private final PoolServer server;

	private final Deque<WorkItem> waiting = new ArrayDeque<>();

	private long usedTokenLayers;

	private boolean inPass;

	private boolean dead;

	private double deadSinceMs;

	/** Number of this start, so that passes of an engine that died end without effect. */
	private int start;

	EngineModel(SimulationQueue queue, ModelPool pool, ExperimentFile.Engine figures, PoolServer server) {
		this.queue = queue;
		this.pool = pool;
		this.figures = figures;
		this.server = server;
	}

	PoolServer server() {
		return this.server;
	}

	boolean isDead() {
		return this.dead;
	}

	// Whether the engine has been dead for longer than reports lag.
	boolean isKnownDead() {
		return this.dead && this.queue.nowMs() - this.deadSinceMs >= this.figures.reportLagMs();
	}

	void die() {
		this.dead = true;
		this.deadSinceMs = this.queue.nowMs();
		this.start++;
		this.waiting.clear();
		this.inPass = false;
		this.usedTokenLayers = 0;
	}

	void comeBack() {
		this.dead = false;
	}

	/**
	 * Takes memory for a request.
	 * @param tokenLayers tokens times layers
	 * @return {@code false} if the memory does not suffice
	 */
	boolean takeMemory(long tokenLayers) {
		long capacity = this.pool.tokenLayerCapacity(this.server.acceleratorKind(), this.server.layers().length());
		if (this.usedTokenLayers + tokenLayers > capacity) {
			return false;
		}
		this.usedTokenLayers += tokenLayers;
		return true;
	}

	void returnMemory(long tokenLayers) {
		this.usedTokenLayers = Math.max(0, this.usedTokenLayers - tokenLayers);
	}

	void add(WorkItem item) {
		if (this.dead) {
			return;
		}
		this.waiting.add(item);
		if (!this.inPass) {
			pass();
		}
	}

	private void pass() {
		List<WorkItem> items = new ArrayList<>();
		List<WorkItem> later = new ArrayList<>();
		int promptTokens = 0;
		for (WorkItem item : this.waiting) {
			if (item.isEnded()) {
				continue;
			}
			if (item.promptTokens() > 0 && promptTokens > 0
					&& promptTokens + item.promptTokens() > this.figures.pieceTokens()) {
				later.add(item);
				continue;
			}
			promptTokens += item.promptTokens();
			items.add(item);
		}
		this.waiting.clear();
		this.waiting.addAll(later);
		if (items.isEmpty()) {
			return;
		}
		this.inPass = true;
		int started = this.start;
		this.queue.after(durationMs(items), () -> {
			if (started == this.start) {
				this.inPass = false;
				items.forEach(WorkItem::passed);
				if (!this.inPass) {
					pass();
				}
			}
		});
	}

	private double durationMs(List<WorkItem> items) {
		double stepShare = 0;
		double sequencesMs = 0;
		double readMs = 0;
		for (WorkItem item : items) {
			double share = (double) item.layers() / this.pool.layers();
			if (item.promptTokens() > 0) {
				readMs += share * item.promptTokens() / this.pool.prefillTokensPerMs();
			}
			else {
				stepShare = Math.max(stepShare, share);
				sequencesMs += share * (this.pool.perSequenceMs()
						+ item.contextTokens() / TOKENS_PER_KILO * this.pool.contextMsPerKiloToken());
			}
		}
		double stepsMs = this.figures.tokensPerEvent() * (stepShare * this.pool.stepMs() + sequencesMs);
		return stepsMs * this.server.acceleratorKind().stepFactor()
				+ readMs * this.server.acceleratorKind().prefillFactor();
	}

	/**
	 * Work of one request at one engine in one pass.
	 */
	interface WorkItem {

		// Prompt tokens to read, 0 for a decoding step.
		int promptTokens();

		int contextTokens();

		int layers();

		boolean isEnded();

		void passed();

	}

}
