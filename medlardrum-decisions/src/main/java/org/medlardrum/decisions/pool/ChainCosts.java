package org.medlardrum.decisions.pool;

import org.medlardrum.state.routing.ModelPool;

/**
 * Costs of one request in a chain, in milliseconds. The cost and the utilisation of an
 * engine grow linearly with the number of layers that it runs, so they are computed once
 * for each engine.
 */
final class ChainCosts {

	/**
	 * Cost of a crossing that exceeds all other costs of a chain together: the longest
	 * streams of a full pool cost minutes.
	 */
	private static final double CROSSING_COST_MS = 1e9;

	private final PoolSnapshot snapshot;

	private final ModelPool pool;

	private final ChainRequest request;

	private final ZoneCrossings crossings;

	/** By position of the engine in the list of the search, 0 until it is computed. */
	private final double[] processingPerLayer;

	private final double[] utilisationPerLayer;

	private final double[] utilisationBefore;

	ChainCosts(PoolSnapshot snapshot, ChainRequest request, ZoneCrossings crossings) {
		this.snapshot = snapshot;
		this.crossings = crossings;
		this.pool = snapshot.pool();
		this.request = request;
		int servers = snapshot.servers().size();
		this.processingPerLayer = new double[servers];
		this.utilisationPerLayer = new double[servers];
		this.utilisationBefore = new double[servers];
	}

	/**
	 * Returns the cost of reaching the first engine of a chain.
	 * @param zone availability zone of the engine
	 * @return the cost
	 */
	double firstHop(String zone) {
		boolean otherZone = !this.request.preferredZone().equals(zone);
		return this.pool.delayMs(this.request.availabilityZone(), zone)
				+ ((otherZone) ? ChainSearch.OTHER_ZONE_COST_MS * this.request.generatedTokens() : 0);
	}

	/**
	 * Returns the cost of passing from one engine to the next.
	 * @param from availability zone of the engine
	 * @param to availability zone of the next one
	 * @return the cost, {@link Double#POSITIVE_INFINITY} if the hop must not be made
	 */
	double nextHop(String from, String to) {
		return this.pool.delayMs(from, to) * this.request.generatedTokens()
				+ this.pool.transferMs(this.request.tokensAtEnd(), from, to) * ChainSearch.ZONE_LINK_COST
				+ crossing(from, to);
	}

	private double crossing(String from, String to) {
		return switch (this.crossings) {
			case ZoneCrossings.Weighed weighed -> 0;
			case ZoneCrossings.Fewest fewest when from.equals(to) -> 0;
			case ZoneCrossings.Fewest fewest -> (fewest.refusedLinks().contains(ModelPool.zonePairKey(from, to)))
					? Double.POSITIVE_INFINITY : CROSSING_COST_MS;
		};
	}

	/**
	 * Returns the time of an engine for its fraction of the layers: one step for each
	 * generated token and the prefill of the prompt.
	 * @param server the engine
	 * @param index position of the engine
	 * @param layers number of layers that it runs
	 * @return the cost without that of its utilisation
	 */
	double processing(PoolServer server, int index, int layers) {
		if (this.processingPerLayer[index] == 0) {
			this.processingPerLayer[index] = processingPerLayer(server);
		}
		return this.processingPerLayer[index] * layers;
	}

	private double processingPerLayer(PoolServer server) {
		int sequences = this.snapshot.load(server).sequences();
		double contextKiloTokens = (this.pool.meanPromptTokens() + this.pool.meanGeneratedTokens() / 2.0) / 1000;
		double stepMs = this.pool.stepMs()
				+ sequences * (this.pool.perSequenceMs() + contextKiloTokens * this.pool.contextMsPerKiloToken());
		double prefillMs = this.request.promptTokens() / this.pool.prefillTokensPerMs()
				* server.acceleratorKind().prefillFactor();
		return (this.request.generatedTokens() * stepMs * server.acceleratorKind().stepFactor() + prefillMs)
				/ this.pool.layers();
	}

	/**
	 * Returns the fraction of an engine's KV cache that would be reserved.
	 * @param server the engine
	 * @param index position of the engine
	 * @param layers number of layers that the request uses there
	 * @return the cache utilisation, as in {@link PoolSnapshot#utilisation}
	 */
	double utilisation(PoolServer server, int index, int layers) {
		if (this.utilisationPerLayer[index] == 0) {
			this.utilisationBefore[index] = this.snapshot.utilisation(server, 0);
			double first = this.snapshot.utilisation(server, this.request.tokensAtEnd());
			this.utilisationPerLayer[index] = Math.max(first - this.utilisationBefore[index], Double.MIN_NORMAL);
		}
		return this.utilisationBefore[index] + this.utilisationPerLayer[index] * layers;
	}

	/**
	 * Returns the cost of taking a slot of a first engine. A request holds the slot until
	 * all its layers are done, so the cost is relative to the time of all layers.
	 * @param server the engine
	 * @param index position of the engine
	 * @return the cost, 0 while most slots are free
	 */
	double slotCost(PoolServer server, int index) {
		double utilisation = (double) this.snapshot.load(server).headSequences() / server.slots();
		return processing(server, index, this.pool.layers()) * (utilisationFactor(utilisation) - 1);
	}

	/**
	 * Returns the factor by which the cost of an engine grows with its utilisation.
	 * @param utilisation utilisation of the cache, or of the slots of a first engine
	 * @return the factor, 1 or more
	 */
	double utilisationFactor(double utilisation) {
		double excess = Math.max(0, utilisation - ChainSearch.UNPENALISED_UTILISATION)
				/ (1 - ChainSearch.UNPENALISED_UTILISATION);
		return 1 + (ChainSearch.UTILISATION_COST + ChainSearch.UTILISATION_COST_PER_RANK * this.request.rank()) * excess
				* excess;
	}

}
