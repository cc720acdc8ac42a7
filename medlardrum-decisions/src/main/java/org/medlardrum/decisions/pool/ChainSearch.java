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
 * Finds the chain of engines with the earliest expected finish. It answers the load in
 * which fast engines would take all requests until their memory is used up and every
 * stream on them is preempted: the cost of an engine grows with the part of its KV cache
 * that is reserved, sooner for less urgent ranks, so that requests move to slower chains
 * before the fast one is full.
 *
 * <pre>
 * Optional&lt;List&lt;ChainHop&gt;&gt; chain = new ChainSearch(snapshot).find(request);
 * </pre>
 */
public final class ChainSearch {

	/**
	 * Part of an engine's KV cache that may be reserved. Reservations count the full
	 * length of an answer from its start, so the rest covers answers that exceed their
	 * estimate.
	 */
	static final double MAX_FILL = 0.92;

	/**
	 * Reservation kept for each more urgent rank, as a part of the KV cache, so that
	 * urgent requests find room in a flood of less urgent ones.
	 */
	static final double FILL_STEP_PER_RANK = 0.06;

	/** Fill from which an engine's cost grows; below it decoding slows down little. */
	static final double FREE_FILL = 0.5;

	/** Growth of the cost between {@link #FREE_FILL} and a full cache for rank 0. */
	static final double FILL_COST = 3;

	/** Additional growth of the cost for each rank. */
	static final double FILL_COST_PER_RANK = 3;

	/**
	 * Cost of entering a chain outside the preferred availability zone for each token
	 * written, in milliseconds: a quarter of what a chain of a zone takes. A stream
	 * across zones breaks when they are cut off from each other, and its events cost
	 * bytes between them.
	 */
	static final double OTHER_ZONE_COST_MS = 3;

	/**
	 * Cost of the time for which a request occupies the link between zones, relative to a
	 * time that it spends alone. The prompts of all requests cross one after another:
	 * with two crossings for each request the users' links are full at a fifth of their
	 * load.
	 */
	static final double ZONE_LINK_COST = 60;

	private final PoolSnapshot snapshot;

	private final ModelPool pool;

	/**
	 * Creates a search.
	 * @param snapshot the engines and their work
	 */
	public ChainSearch(PoolSnapshot snapshot) {
		this.snapshot = snapshot;
		this.pool = snapshot.pool();
	}

	/**
	 * Finds a chain.
	 * @param request the request
	 * @return engines that together run every layer once and in order; empty when no
	 * chain has room
	 */
	public Optional<List<ChainHop>> find(ChainRequest request) {
		return find(request, MAX_FILL - request.rank() * FILL_STEP_PER_RANK);
	}

	/**
	 * Finds a chain whose engines stay below a given fill.
	 * @param request the request
	 * @param maxFill largest part of the KV cache in use with this request
	 * @return the engines, empty when there is no such chain
	 */
	public Optional<List<ChainHop>> find(ChainRequest request, double maxFill) {
		Optional<List<ChainHop>> chain = search(request, maxFill, true);
		// An engine may appear twice only where a search may leave it early.
		return (chain.isPresent() && hasRepeatedServer(chain.get())) ? search(request, maxFill, false) : chain;
	}

	private static boolean hasRepeatedServer(List<ChainHop> chain) {
		Set<String> ids = new HashSet<>();
		return chain.stream().anyMatch((hop) -> !ids.add(hop.server().id()));
	}

	private Optional<List<ChainHop>> search(ChainRequest request, double maxFill, boolean mayLeaveEarly) {
		NavigableSet<Integer> cuts = cuts(mayLeaveEarly);
		List<Map<String, Partial>> best = new ArrayList<>();
		for (int layer = 0; layer <= this.pool.layers(); layer++) {
			best.add(new HashMap<>());
		}
		best.getFirst().put(request.availabilityZone(), new Partial(0, null, null));
		for (int layer = 0; layer < this.pool.layers(); layer++) {
			for (Map.Entry<String, Partial> state : best.get(layer).entrySet()) {
				extend(request, maxFill, cuts, best, layer, state.getKey(), state.getValue());
			}
		}
		Partial end = null;
		for (Partial candidate : best.getLast().values()) {
			if (end == null || candidate.cost < end.cost) {
				end = candidate;
			}
		}
		return Optional.ofNullable(end).map(Partial::hops);
	}

	private NavigableSet<Integer> cuts(boolean mayLeaveEarly) {
		NavigableSet<Integer> cuts = new TreeSet<>();
		if (mayLeaveEarly) {
			this.snapshot.servers().forEach((server) -> cuts.add(server.layers().fromLayer()));
		}
		return cuts;
	}

	private void extend(ChainRequest request, double maxFill, NavigableSet<Integer> cuts,
			List<Map<String, Partial>> best, int layer, String zone, Partial partial) {
		for (PoolServer server : this.snapshot.servers()) {
			LayerRange held = server.layers();
			if (held.fromLayer() > layer || held.toLayer() <= layer || held.toLayer() > this.pool.layers()
					|| this.snapshot.avoided().test(zone, server)) {
				continue;
			}
			if (partial.hop == null && this.snapshot.load(server).headSequences() >= server.slots()) {
				continue;
			}
			for (int end : cuts.subSet(layer, false, held.toLayer(), false)) {
				relax(request, maxFill, best, layer, end, zone, server, partial);
			}
			relax(request, maxFill, best, layer, held.toLayer(), zone, server, partial);
		}
	}

	private void relax(ChainRequest request, double maxFill, List<Map<String, Partial>> best, int layer, int end,
			String zone, PoolServer server, Partial partial) {
		double fill = this.snapshot.utilisation(server, (long) request.tokensAtEnd() * (end - layer));
		if (fill > maxFill) {
			return;
		}
		double cost = partial.cost + hopCost(request, partial, zone, server)
				+ runCost(request, server, end - layer) * fillFactor(fill, request.rank());
		Partial known = best.get(end).get(server.availabilityZone());
		if (known == null || cost < known.cost) {
			best.get(end)
				.put(server.availabilityZone(),
						new Partial(cost, new ChainHop(server, new LayerRange(layer, end)), partial));
		}
	}

	private double hopCost(ChainRequest request, Partial partial, String zone, PoolServer server) {
		double delayMs = this.pool.delayMs(zone, server.availabilityZone());
		if (partial.hop == null) {
			boolean otherZone = !request.preferredZone().equals(server.availabilityZone());
			return delayMs + ((otherZone) ? OTHER_ZONE_COST_MS * request.generatedTokens() : 0);
		}
		double transferMs = this.pool.transferMs(request.tokensAtEnd(), zone, server.availabilityZone());
		return delayMs * request.generatedTokens() + transferMs * ZONE_LINK_COST;
	}

	// Time that an engine spends on a request: one step for each token written and the
	// reading of the prompt, for its share of the layers.
	private double runCost(ChainRequest request, PoolServer server, int layers) {
		double share = (double) layers / this.pool.layers();
		int sequences = this.snapshot.load(server).sequences();
		double contextKiloTokens = (this.pool.meanPromptTokens() + this.pool.meanGeneratedTokens() / 2.0) / 1000;
		double stepMs = this.pool.stepMs()
				+ sequences * (this.pool.perSequenceMs() + contextKiloTokens * this.pool.contextMsPerKiloToken());
		double readMs = request.promptTokens() / this.pool.prefillTokensPerMs() * server.kind().prefillFactor();
		return share * (request.generatedTokens() * stepMs * server.kind().stepFactor() + readMs);
	}

	private static double fillFactor(double fill, int rank) {
		double over = Math.max(0, fill - FREE_FILL) / (1 - FREE_FILL);
		return 1 + (FILL_COST + FILL_COST_PER_RANK * rank) * over * over;
	}

	/**
	 * Cheapest way found to a layer.
	 */
	private static final class Partial {

		private final double cost;

		private final ChainHop hop;

		private final Partial before;

		Partial(double cost, ChainHop hop, Partial before) {
			this.cost = cost;
			this.hop = hop;
			this.before = before;
		}

		List<ChainHop> hops() {
			List<ChainHop> hops = new ArrayList<>();
			for (Partial partial = this; partial.hop != null; partial = partial.before) {
				hops.addFirst(partial.hop);
			}
			return hops;
		}

	}

}
