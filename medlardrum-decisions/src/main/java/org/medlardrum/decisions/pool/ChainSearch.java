package org.medlardrum.decisions.pool;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the chain of engines with the earliest expected finish. The cost of an engine
 * grows with the utilisation of its cache and, for the first engine of a chain, of its
 * slots, faster for less urgent ranks, so that requests go to slower chains before the
 * fast one is full. Otherwise the fast engines would take all requests until their memory
 * is used up and every stream on them is preempted.
 *
 * <pre>
 * Optional&lt;List&lt;ChainHop&gt;&gt; chain = new ChainSearch(snapshot).find(request);
 * </pre>
 */
public final class ChainSearch {

	/**
	 * Largest number of engines of a chain. Engines answer requests with longer chains
	 * with status 400.
	 */
	static final int MAX_HOPS = 32;

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

	/**
	 * Creates a search.
	 * @param snapshot the engines and their load
	 */
	public ChainSearch(PoolSnapshot snapshot) {
		this.snapshot = snapshot;
	}

	/**
	 * Finds a chain.
	 * @param request the request
	 * @return engines that together run every layer once and in order, empty when no
	 * chain has enough free capacity
	 */
	public Optional<List<ChainHop>> find(ChainRequest request) {
		return find(request, maxUtilisation(request.rank()));
	}

	/**
	 * Returns the largest fraction of an engine's KV cache that requests of a rank may
	 * reserve.
	 * @param rank the rank, 0 first
	 * @return the fraction
	 */
	public static double maxUtilisation(int rank) {
		return MAX_UTILISATION - rank * UTILISATION_STEP_PER_RANK;
	}

	/**
	 * Finds a chain whose engines stay within a given utilisation.
	 * @param request the request
	 * @param maxUtilisation largest fraction of the KV cache that may be reserved,
	 * including this request, and of the slots of the first engine, before this request
	 * @return the engines, empty when there is no such chain
	 */
	public Optional<List<ChainHop>> find(ChainRequest request, double maxUtilisation) {
		return find(request, maxUtilisation, new ZoneCrossings.Weighed());
	}

	/**
	 * Finds a chain whose engines stay within a given cache utilisation, with as few
	 * crossings between availability zones as possible.
	 * @param request the request
	 * @param maxUtilisation largest fraction of the KV cache that may be reserved,
	 * including this request
	 * @param refusedLinks links that must not be crossed, by
	 * {@link org.medlardrum.state.routing.ModelPool#zonePairKey}
	 * @return the engines, empty when there is no such chain
	 */
	public Optional<List<ChainHop>> findWithFewestCrossings(ChainRequest request, double maxUtilisation,
			Set<String> refusedLinks) {
		return find(request, maxUtilisation, new ZoneCrossings.Fewest(refusedLinks));
	}

	private Optional<List<ChainHop>> find(ChainRequest request, double maxUtilisation, ZoneCrossings crossings) {
		ChainTable table = new ChainTable(this.snapshot, request, new ChainCosts(this.snapshot, request, crossings));
		Optional<List<ChainHop>> chain = table.find(maxUtilisation, true);
		// A chain may visit an engine twice only if it runs part of the engine's layers.
		// Such a chain is invalid, so the search is repeated with whole ranges, which
		// also makes chains shorter.
		boolean valid = chain.isEmpty() || (chain.get().size() <= MAX_HOPS && !hasRepeatedServer(chain.get()));
		return (valid) ? chain : table.find(maxUtilisation, false).filter((hops) -> hops.size() <= MAX_HOPS);
	}

	private static boolean hasRepeatedServer(List<ChainHop> chain) {
		Set<String> ids = new HashSet<>();
		return chain.stream().anyMatch((hop) -> !ids.add(hop.server().id()));
	}

}
