package org.medlardrum.standins.internal.model;

import java.util.List;
import java.util.Optional;

import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.decisions.pool.PoolServer;
import org.medlardrum.decisions.pool.StreamStallDetector;
import org.medlardrum.standins.internal.model.EngineModel.WorkItem;

/**
 * One attempt of a stream at a chain: the prompt passes the engines in pieces, then each
 * event passes all of them.
 */
final class AttemptModel {

	/** Time until a refusal is back, measured on the users' bench: 2 to 5 ms. */
	private static final double REFUSAL_MS = 3;

	private final PoolModel model;

	private final StreamModel stream;

	private final List<ChainHop> chain;

	private final StreamStallDetector pauses;

	private final int firstEvent;

	private final int tokensAtEnd;

	private int event;

	private int piecesLeft;

	private boolean memoryTaken;

	private boolean ended;

	AttemptModel(PoolModel model, StreamModel stream, List<ChainHop> chain, int delivered, int tokensAtEnd) {
		this.model = model;
		this.stream = stream;
		this.chain = chain;
		this.firstEvent = delivered;
		this.event = delivered;
		this.tokensAtEnd = tokensAtEnd;
		this.pauses = new StreamStallDetector(model.nowMs(), stream.kind().targetMs(), stream.kind().gapTargetMs());
	}

	List<ChainHop> chain() {
		return this.chain;
	}

	StreamStallDetector pauses() {
		return this.pauses;
	}

	boolean isEnded() {
		return this.ended;
	}

	void start() {
		this.stream.host().reserve(this.chain, this.tokensAtEnd, 1);
		double delayMs = this.model.pool().delayMs(this.stream.host().zone(), zone(0));
		this.model.queue().after(delayMs, this::admit);
	}

	private void admit() {
		if (this.ended) {
			return;
		}
		Optional<PoolServer> refusing = this.chain.stream()
			.map(ChainHop::server)
			.filter((server) -> this.model.engine(server).isDead())
			.findFirst();
		if (refusing.isEmpty()) {
			refusing = takeMemory();
		}
		if (refusing.isPresent()) {
			PoolServer server = refusing.get();
			this.model.queue().after(REFUSAL_MS, () -> {
				if (!this.ended) {
					this.stream.refused(this, server);
				}
			});
			return;
		}
		this.memoryTaken = true;
		int tokens = this.stream.promptTokens() + this.firstEvent * this.model.tokensPerEvent();
		int piece = this.model.pieceTokens();
		this.piecesLeft = (tokens + piece - 1) / piece;
		for (int from = 0; from < tokens; from += piece) {
			run(0, Math.min(piece, tokens - from));
		}
	}

	// Takes memory at all engines, or at none when one is short of it.
	private Optional<PoolServer> takeMemory() {
		for (int i = 0; i < this.chain.size(); i++) {
			if (!engine(i).takeMemory(tokenLayers(i))) {
				for (int j = 0; j < i; j++) {
					engine(j).returnMemory(tokenLayers(j));
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

	// Passes prompt tokens, or a step when there are none, through the engines from hop.
	private void run(int hop, int promptTokens) {
		if (this.ended) {
			return;
		}
		engine(hop).add(new Item(hop, promptTokens));
	}

	private void passed(int hop, int promptTokens) {
		if (this.ended) {
			return;
		}
		if (hop + 1 < this.chain.size()) {
			int tokens = (promptTokens > 0) ? promptTokens : this.model.tokensPerEvent();
			this.model.link().send(tokens, zone(hop), zone(hop + 1), () -> run(hop + 1, promptTokens));
			return;
		}
		if (promptTokens > 0 && --this.piecesLeft > 0) {
			return;
		}
		int number = ++this.event;
		double delayMs = this.model.pool().delayMs(zone(hop), this.stream.host().zone());
		this.model.queue().after(delayMs, () -> this.stream.event(this, number));
		if (number < this.stream.events()) {
			this.model.queue().after(this.model.pool().delayMs(zone(hop), zone(0)), () -> run(0, 0));
		}
	}

	/**
	 * Returns the engine for which the chain waits, as its first engine reports it.
	 * @return the lost engine, empty when none is known
	 */
	Optional<PoolServer> lostEngine() {
		return this.chain.stream()
			.map(ChainHop::server)
			.filter((server) -> this.model.engine(server).isKnownDead())
			.findFirst();
	}

	void end() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.stream.host().reserve(this.chain, this.tokensAtEnd, -1);
		if (this.memoryTaken) {
			for (int i = 0; i < this.chain.size(); i++) {
				engine(i).returnMemory(tokenLayers(i));
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
					+ AttemptModel.this.event * AttemptModel.this.model.tokensPerEvent();
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
		public void passed() {
			AttemptModel.this.passed(this.hop, this.tokens);
		}

	}

}
