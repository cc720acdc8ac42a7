package org.medlardrum.standins.internal.model;

import java.util.List;
import java.util.Optional;

import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.decisions.pool.PoolServer;
import org.medlardrum.decisions.pool.StreamStallDetector;
import org.medlardrum.standins.internal.model.EngineModel.WorkItem;

/**
 * One attempt of a stream on a chain. The prompt is prefilled in chunks that pass through
 * all engines; then each event of the stream passes through all of them.
 */
final class AttemptModel {

	/** Time until a refusal arrives at the entry host; real refusals take 2 to 5 ms. */
	private static final double REFUSAL_DELAY_MS = 3;

	private final PoolModel model;

	private final StreamModel stream;

	private final List<ChainHop> chain;

	private final StreamStallDetector stallDetector;

	private final int deliveredBefore;

	private final int tokensAtEnd;

	private int lastEvent;

	private int prefillChunksLeft;

	private boolean memoryReserved;

	private boolean ended;

	AttemptModel(PoolModel model, StreamModel stream, List<ChainHop> chain, int deliveredEvents, int tokensAtEnd) {
		this.model = model;
		this.stream = stream;
		this.chain = chain;
		this.deliveredBefore = deliveredEvents;
		this.lastEvent = deliveredEvents;
		this.tokensAtEnd = tokensAtEnd;
		this.stallDetector = new StreamStallDetector(model.nowMs(), stream.kind().targetMs(),
				stream.kind().gapTargetMs());
	}

	List<ChainHop> chain() {
		return this.chain;
	}

	StreamStallDetector stallDetector() {
		return this.stallDetector;
	}

	boolean isEnded() {
		return this.ended;
	}

	void start() {
		this.stream.host().reserve(this.chain, this.tokensAtEnd, 1);
		double delayMs = this.model.pool().delayMs(this.stream.host().zone(), zone(0));
		this.model.queue().schedule(delayMs, this::admit);
	}

	private void admit() {
		if (this.ended) {
			return;
		}
		Optional<PoolServer> refusingServer = this.chain.stream()
			.map(ChainHop::server)
			.filter((server) -> this.model.engine(server).isFailed())
			.findFirst();
		if (refusingServer.isEmpty()) {
			refusingServer = reserveMemory();
		}
		if (refusingServer.isPresent()) {
			PoolServer server = refusingServer.get();
			this.model.queue().schedule(REFUSAL_DELAY_MS, () -> {
				if (!this.ended) {
					this.stream.onRefused(this, server);
				}
			});
			return;
		}
		this.memoryReserved = true;
		int tokens = this.stream.promptTokens() + this.deliveredBefore * this.model.tokensPerEvent();
		int chunkTokens = this.model.prefillChunkTokens();
		this.prefillChunksLeft = (tokens + chunkTokens - 1) / chunkTokens;
		for (int from = 0; from < tokens; from += chunkTokens) {
			runHop(0, Math.min(chunkTokens, tokens - from));
		}
	}

	// Reserves memory on all engines, or on none if one has too little; returns that one.
	private Optional<PoolServer> reserveMemory() {
		for (int i = 0; i < this.chain.size(); i++) {
			if (!engine(i).reserveMemory(tokenLayers(i))) {
				for (int j = 0; j < i; j++) {
					engine(j).releaseMemory(tokenLayers(j));
				}
				return Optional.of(this.chain.get(i).server());
			}
		}
		return Optional.empty();
	}

	private long tokenLayers(int hop) {
		return (long) this.tokensAtEnd * this.chain.get(hop).layers().length();
	}

	private EngineModel engine(int hop) {
		return this.model.engine(this.chain.get(hop).server());
	}

	private String zone(int hop) {
		return this.chain.get(hop).server().availabilityZone();
	}

	// Runs a prefill chunk, or a decode step if there are no prompt tokens, on the
	// engines of the chain from the given hop on.
	private void runHop(int hop, int promptTokens) {
		if (this.ended) {
			return;
		}
		engine(hop).add(new Item(hop, promptTokens));
	}

	private void onHopProcessed(int hop, int promptTokens) {
		if (this.ended) {
			return;
		}
		if (hop + 1 < this.chain.size()) {
			int tokens = (promptTokens > 0) ? promptTokens : this.model.tokensPerEvent();
			this.model.link().send(tokens, zone(hop), zone(hop + 1), () -> runHop(hop + 1, promptTokens));
			return;
		}
		if (promptTokens > 0 && --this.prefillChunksLeft > 0) {
			return;
		}
		int number = ++this.lastEvent;
		double delayMs = this.model.pool().delayMs(zone(hop), this.stream.host().zone());
		this.model.queue().schedule(delayMs, () -> this.stream.onEvent(this, number));
		if (number < this.stream.events()) {
			this.model.queue().schedule(this.model.pool().delayMs(zone(hop), zone(0)), () -> runHop(0, 0));
		}
	}

	/**
	 * Returns the failed engine that stalls the chain, as the head engine reports it.
	 * @return the failed engine, empty if none is reported yet
	 */
	Optional<PoolServer> reportedFailedEngine() {
		return this.chain.stream()
			.map(ChainHop::server)
			.filter((server) -> this.model.engine(server).isFailureReported())
			.findFirst();
	}

	void end() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.stream.host().reserve(this.chain, this.tokensAtEnd, -1);
		if (this.memoryReserved) {
			for (int i = 0; i < this.chain.size(); i++) {
				engine(i).releaseMemory(tokenLayers(i));
			}
		}
	}

	private final class Item implements WorkItem {

		private final int hop;

		private final int tokens;

		Item(int hop, int tokens) {
			this.hop = hop;
			this.tokens = tokens;
		}

		@Override
		public int promptTokens() {
			return this.tokens;
		}

		@Override
		public int contextTokens() {
			return AttemptModel.this.stream.promptTokens()
					+ AttemptModel.this.lastEvent * AttemptModel.this.model.tokensPerEvent();
		}

		@Override
		public int layers() {
			return AttemptModel.this.chain.get(this.hop).layers().length();
		}

		@Override
		public boolean isEnded() {
			return AttemptModel.this.ended;
		}

		@Override
		public void onProcessed() {
			AttemptModel.this.onHopProcessed(this.hop, this.tokens);
		}

	}

}
