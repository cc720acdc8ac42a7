package org.medlardrum.decisions.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.ModelPool;

/**
 * Finds the chain of engines with the earliest expected finish. The cost of an engine
 * grows with its cache utilisation, faster for less urgent ranks, so that requests go to
 * slower chains before the fast one is full. Otherwise the fast engines would take all
 * requests until their memory is used up and every stream on them is preempted.
 *
 * <pre>
 * Optional&lt;List&lt;ChainHop&gt;&gt; chain = new ChainSearch(snapshot).find(request);
 * </pre>
 */
public final class ChainSearch {

	/**
	 * Largest fraction of an engine's KV cache that may be reserved. A reservation counts
	 * the full expected length of a completion from its start; the remainder absorbs
	 * completions that exceed their estimate.
	 */
	static final double MAX_UTILISATION = 0.92;

	/**
	 * Fraction of the KV cache that each rank leaves to the next more urgent rank, so
	 * that urgent requests find free capacity during a flood of less urgent ones.
	 */
	static final double UTILISATION_STEP_PER_RANK = 0.06;

	/**
	 * Cache utilisation above which an engine's cost grows; below it decoding is hardly
	 * slower.
	 */
	static final double UNPENALISED_UTILISATION = 0.5;

	/**
	 * Relative increase of the cost from {@link #UNPENALISED_UTILISATION} to a full
	 * cache, for rank 0.
	 */
	static final double UTILISATION_COST = 3;

	/** Additional relative increase of the cost for each less urgent rank. */
	static final double UTILISATION_COST_PER_RANK = 3;

	/**
	 * Cost of a chain outside the preferred availability zone, in milliseconds for each
	 * generated token. This is a quarter of the time that a chain within a zone takes for
	 * a token. A stream across zones fails when the zones are partitioned, and its events
	 * use bandwidth between them.
	 */
	static final double OTHER_ZONE_COST_MS = 3;

	/**
	 * Weight of the time for which a request occupies the link between zones, relative to
	 * time that delays only the request itself. The link is shared and transfers prompts
	 * one after another: with two crossings for each request the users' links are
	 * saturated at a fifth of their load.
	 */
	static final double ZONE_LINK_COST = 60;

	private final PoolSnapshot snapshot;

	private final ModelPool pool;

	/**
	 * Creates a search.
	 * @param snapshot the engines and their load
	 */
	public ChainSearch(PoolSnapshot snapshot) {
		this.snapshot = snapshot;
		this.pool = snapshot.pool();
	}

	/**
	 * Finds a chain.
	 * @param request the request
	 * @return engines that together run every layer once and in order, empty when no
	 * chain has enough free capacity
	 */
	public Optional<List<ChainHop>> find(ChainRequest request) {
		return find(request, MAX_UTILISATION - request.rank() * UTILISATION_STEP_PER_RANK);
	}

	/**
	 * Finds a chain whose engines stay within a given cache utilisation.
	 * @param request the request
	 * @param maxUtilisation largest fraction of the KV cache that may be reserved,
	 * including this request
	 * @return the engines, empty when there is no such chain
	 */
	public Optional<List<ChainHop>> find(ChainRequest request, double maxUtilisation) {
		Optional<List<ChainHop>> chain = search(request, maxUtilisation, true);
		// A chain may visit an engine twice only if it runs part of the engine's layers.
		// Such a chain is invalid, so the search is repeated with whole ranges.
		return (chain.isPresent() && hasRepeatedServer(chain.get())) ? search(request, maxUtilisation, false) : chain;
	}

	private static boolean hasRepeatedServer(List<ChainHop> chain) {
		Set<String> ids = new HashSet<>();
		return chain.stream().anyMatch((hop) -> !ids.add(hop.server().id()));
	}

	private Optional<List<ChainHop>> search(ChainRequest request, double maxUtilisation, boolean allowPartialRanges) {
		NavigableSet<Integer> splitPoints = splitPoints(allowPartialRanges);
		List<Map<String, PartialChain>> bestByLayer = new ArrayList<>();
		for (int layer = 0; layer <= this.pool.layers(); layer++) {
			bestByLayer.add(new HashMap<>());
		}
		bestByLayer.getFirst().put(request.availabilityZone(), new PartialChain(0, null, null));
		for (int layer = 0; layer < this.pool.layers(); layer++) {
			for (Map.Entry<String, PartialChain> state : bestByLayer.get(layer).entrySet()) {
				extend(request, maxUtilisation, splitPoints, bestByLayer, layer, state.getKey(), state.getValue());
			}
		}
		PartialChain cheapest = null;
		for (PartialChain candidate : bestByLayer.getLast().values()) {
			if (cheapest == null || candidate.cost < cheapest.cost) {
				cheapest = candidate;
			}
		}
		return Optional.ofNullable(cheapest).map(PartialChain::hops);
	}

	private NavigableSet<Integer> splitPoints(boolean allowPartialRanges) {
		NavigableSet<Integer> splitPoints = new TreeSet<>();
		if (allowPartialRanges) {
			this.snapshot.servers().forEach((server) -> splitPoints.add(server.layers().fromLayer()));
		}
		return splitPoints;
	}

	private void extend(ChainRequest request, double maxUtilisation, NavigableSet<Integer> splitPoints,
			List<Map<String, PartialChain>> bestByLayer, int layer, String zone, PartialChain partial) {
		for (PoolServer server : this.snapshot.servers()) {
			LayerRange held = server.layers();
			if (held.fromLayer() > layer || held.toLayer() <= layer || held.toLayer() > this.pool.layers()
					|| this.snapshot.excluded().test(zone, server)) {
				continue;
			}
			if (partial.hop == null && (this.snapshot.load(server).headSequences() >= server.slots()
					|| this.snapshot.excludedAsFirst().test(server))) {
				continue;
			}
			for (int end : splitPoints.subSet(layer, false, held.toLayer(), false)) {
				relax(request, maxUtilisation, bestByLayer, layer, end, zone, server, partial);
			}
			relax(request, maxUtilisation, bestByLayer, layer, held.toLayer(), zone, server, partial);
		}
	}

	private void relax(ChainRequest request, double maxUtilisation, List<Map<String, PartialChain>> bestByLayer,
			int layer, int end, String zone, PoolServer server, PartialChain partial) {
		double utilisation = this.snapshot.utilisation(server, (long) request.tokensAtEnd() * (end - layer));
		if (utilisation > maxUtilisation) {
			return;
		}
		double cost = partial.cost + hopCost(request, partial, zone, server)
				+ processingCost(request, server, end - layer) * utilisationFactor(utilisation, request.rank());
		PartialChain currentBest = bestByLayer.get(end).get(server.availabilityZone());
		if (currentBest == null || cost < currentBest.cost) {
			bestByLayer.get(end)
				.put(server.availabilityZone(),
						new PartialChain(cost, new ChainHop(server, new LayerRange(layer, end)), partial));
		}
	}

	private double hopCost(ChainRequest request, PartialChain partial, String zone, PoolServer server) {
		double delayMs = this.pool.delayMs(zone, server.availabilityZone());
		if (partial.hop == null) {
			boolean otherZone = !request.preferredZone().equals(server.availabilityZone());
			return delayMs + ((otherZone) ? OTHER_ZONE_COST_MS * request.generatedTokens() : 0);
		}
		double transferMs = this.pool.transferMs(request.tokensAtEnd(), zone, server.availabilityZone());
		return delayMs * request.generatedTokens() + transferMs * ZONE_LINK_COST;
	}

	// Time of an engine for its fraction of the layers: one step for each generated token
	// and the prefill of the prompt.
	private double processingCost(ChainRequest request, PoolServer server, int layers) {
		double layerFraction = (double) layers / this.pool.layers();
		int sequences = this.snapshot.load(server).sequences();
		double contextKiloTokens = (this.pool.meanPromptTokens() + this.pool.meanGeneratedTokens() / 2.0) / 1000;
		double stepMs = this.pool.stepMs()
				+ sequences * (this.pool.perSequenceMs() + contextKiloTokens * this.pool.contextMsPerKiloToken());
		double prefillMs = request.promptTokens() / this.pool.prefillTokensPerMs()
				* server.acceleratorKind().prefillFactor();
		return layerFraction * (request.generatedTokens() * stepMs * server.acceleratorKind().stepFactor() + prefillMs);
	}

	private static double utilisationFactor(double utilisation, int rank) {
		double excess = Math.max(0, utilisation - UNPENALISED_UTILISATION) / (1 - UNPENALISED_UTILISATION);
		return 1 + (UTILISATION_COST + UTILISATION_COST_PER_RANK * rank) * excess * excess;
	}

	/**
	 * Cheapest chain found so far from the first layer up to a layer, as a linked list.
	 */
	private static final class PartialChain {

		private final double cost;

		private final ChainHop hop;

		private final PartialChain previous;

		PartialChain(double cost, ChainHop hop, PartialChain previous) {
			this.cost = cost;
			this.hop = hop;
			this.previous = previous;
		}

		List<ChainHop> hops() {
			List<ChainHop> hops = new ArrayList<>();
			for (PartialChain partial = this; partial.hop != null; partial = partial.previous) {
				hops.addFirst(partial.hop);
			}
			return hops;
		}

	}

}
