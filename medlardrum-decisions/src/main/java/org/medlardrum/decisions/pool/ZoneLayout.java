package org.medlardrum.decisions.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;
import org.medlardrum.state.routing.ModelPool;

/**
 * Computes how a group of engines, usually those of one availability zone, holds complete
 * chains. Loads that it addresses: a zone with little more memory than the weights, which
 * must still serve without the links between zones, and a zone that has lost engines for
 * good.
 */
public final class ZoneLayout {

	/**
	 * Memory relative to the weights from which a zone is divided into chains with at
	 * most {@link #MAX_WEIGHT_MEMORY} of it taken by weights. With less, more than four
	 * fifths of the memory hold weights, and the zone gets one chain at most.
	 */
	private static final double MIN_CHAIN_MEMORY = 1.25;

	/**
	 * Smallest ratio of the requests that a zone runs at once with a further chain to
	 * those without it. The weights of a chain take KV cache, which long requests may
	 * need although typical ones do not.
	 */
	private static final double MIN_CHAIN_GAIN = 1.15;

	/**
	 * Largest fraction of an engine's memory that weights take, unless the zone can hold
	 * no chain that way.
	 */
	static final double MAX_WEIGHT_MEMORY = 0.9;

	/** Typical requests for which every engine of a chain keeps KV cache. */
	private static final int MIN_REQUESTS = 8;

	/**
	 * Share of the requests of the best layout that a layout with fewer changed layers
	 * must reach. Together with {@code LayerReview.MIN_GAIN}, a zone that was laid out
	 * with few changes is not laid out a second time for the difference.
	 */
	private static final double KEPT_SERVICE = 0.9;

	/**
	 * Cost of one order, in layers. An engine that gives up a layer without loading
	 * another one still executes an order.
	 */
	private static final int ORDER_COST = 1;

	private static final int UNREACHABLE = Integer.MAX_VALUE / 2;

	private final ModelPool pool;

	/**
	 * Creates the computation for a pool.
	 * @param pool parameters of the pool
	 */
	public ZoneLayout(ModelPool pool) {
		this.pool = pool;
	}

	/**
	 * Returns whether engines can hold a complete chain in which each of them keeps KV
	 * cache for at least 8 typical requests.
	 * @param servers the engines
	 * @return {@code true} if there is such a layout
	 */
	public boolean isViable(Collection<PlacementServer> servers) {
		return servers.stream().mapToInt((server) -> maxLayers(server.acceleratorKind(), 1)).sum() >= this.pool
			.layers();
	}

	/**
	 * Returns the layout for engines regardless of the layers that they hold now.
	 * @param servers the engines
	 * @return layers by identifier of the engine, empty if they can hold no complete
	 * chain
	 */
	public Map<String, LayerRange> layout(Collection<PlacementServer> servers) {
		double weightsMb = this.pool.layers() * this.pool.layerMb();
		double memoryMb = servers.stream().mapToDouble((server) -> server.acceleratorKind().memoryMb()).sum();
		List<PlacementServer> group = List.copyOf(servers);
		Map<String, LayerRange> ranges = divide(group, memoryMb / weightsMb);
		if (ranges.isEmpty()) {
			ranges = chainLayout(largest(group), MAX_WEIGHT_MEMORY);
		}
		return (ranges.isEmpty()) ? chainLayout(largest(group), 1) : ranges;
	}

	// Divides a group into the chains that run most requests at once: each chain adds the
	// slots of its first engine and takes KV cache for its weights. Many small engines
	// form several chains in any case, because a chain has at most ChainSearch.MAX_HOPS
	// engines.
	private Map<String, LayerRange> divide(List<PlacementServer> group, double relativeMemory) {
		int most = (int) (relativeMemory / MIN_CHAIN_MEMORY);
		int fewest = Math.min(most, (group.size() + ChainSearch.MAX_HOPS - 1) / ChainSearch.MAX_HOPS);
		Map<String, LayerRange> best = Map.of();
		double bestRequests = 0;
		for (int count = fewest; count > 0 && count <= most; count++) {
			Map<String, LayerRange> ranges = new LinkedHashMap<>();
			splitByMemory(group, count)
				.forEach((chain) -> ranges.putAll(chainLayout(largest(chain), MAX_WEIGHT_MEMORY)));
			double requests = LayerCoverage.of(this.pool, LayerCoverage.withLayers(group, ranges)).requests();
			if (best.isEmpty() || requests >= MIN_CHAIN_GAIN * bestRequests) {
				best = ranges;
				bestRequests = requests;
			}
		}
		return best;
	}

	// The other engines hold layers in addition.
	private static List<PlacementServer> largest(List<PlacementServer> chain) {
		if (chain.size() <= ChainSearch.MAX_HOPS) {
			return chain;
		}
		Comparator<PlacementServer> largestFirst = Comparator
			.comparingDouble((server) -> -server.acceleratorKind().memoryMb());
		return chain.stream()
			.sorted(largestFirst.thenComparing(PlacementServer::id))
			.limit(ChainSearch.MAX_HOPS)
			.toList();
	}

	/**
	 * Returns a layout with a complete chain that loads few layers. Engines keep their
	 * order by first layer, and engines without layers are used where layers are missing.
	 * @param servers the engines with their layers
	 * @return the layers of the engines that change theirs, empty if there is no complete
	 * layout
	 */
	public Map<String, LayerRange> rearrange(Collection<PlacementServer> servers) {
		Map<String, LayerRange> best = layout(servers);
		if (best.isEmpty()) {
			return Map.of();
		}
		double required = KEPT_SERVICE
				* LayerCoverage.of(this.pool, LayerCoverage.withLayers(servers, best)).requests();
		double largest = servers.stream()
			.filter((server) -> best.containsKey(server.id()))
			.mapToDouble((server) -> weightFraction(server.acceleratorKind(), best.get(server.id()).length()))
			.max()
			.orElseThrow();
		double relaxed = 1 / (1 + KEPT_SERVICE * (1 / largest - 1));
		for (double fraction : new double[] { relaxed, largest }) {
			Map<String, LayerRange> moves = cheapestMoves(inOrder(servers), fraction);
			List<PlacementServer> moved = LayerCoverage.withLayers(servers, moves);
			if (!moves.isEmpty() && fewestHops(moved) <= ChainSearch.MAX_HOPS
					&& LayerCoverage.of(this.pool, moved).requests() >= required) {
				return moves;
			}
		}
		return changes(servers, best);
	}

	/**
	 * Returns the moves that make a further chain of the engines that are not part of a
	 * complete one, as after the loss of an engine of one of several chains.
	 * @param servers the engines with their layers
	 * @return the layers of the engines that change theirs, empty if the other engines
	 * can hold no complete chain
	 */
	Map<String, LayerRange> restoreChain(Collection<PlacementServer> servers) {
		NavigableMap<Integer, Deque<PlacementServer>> byFirstLayer = new TreeMap<>();
		servers.stream()
			.sorted(Comparator.comparing(PlacementServer::id))
			.forEach((server) -> server.layers()
				.ifPresent((range) -> byFirstLayer.computeIfAbsent(range.fromLayer(), (from) -> new ArrayDeque<>())
					.add(server)));
		Set<String> used = new HashSet<>();
		for (List<String> chain = takeChain(byFirstLayer); !chain.isEmpty(); chain = takeChain(byFirstLayer)) {
			used.addAll(chain);
		}
		List<PlacementServer> others = servers.stream().filter((server) -> !used.contains(server.id())).toList();
		return (isViable(others)) ? rearrange(others) : Map.of();
	}

	// Removes engines that hold all layers together and returns their identifiers. Of the
	// engines that hold the next layer, the one that overlaps least with those before is
	// used.
	private List<String> takeChain(NavigableMap<Integer, Deque<PlacementServer>> byFirstLayer) {
		List<String> chain = new ArrayList<>();
		int covered = 0;
		while (covered < this.pool.layers()) {
			PlacementServer next = takeNext(byFirstLayer.headMap(covered, true).descendingMap().values(), covered);
			if (next == null) {
				return List.of();
			}
			chain.add(next.id());
			covered = next.layers().orElseThrow().toLayer();
		}
		return chain;
	}

	private static PlacementServer takeNext(Collection<Deque<PlacementServer>> candidates, int covered) {
		for (Deque<PlacementServer> sameFirst : candidates) {
			for (PlacementServer server : sameFirst) {
				if (server.layers().orElseThrow().toLayer() > covered) {
					sameFirst.remove(server);
					return server;
				}
			}
		}
		return null;
	}

	// Number of engines of the shortest complete chain.
	private int fewestHops(Collection<PlacementServer> servers) {
		int hops = 0;
		int covered = 0;
		while (covered < this.pool.layers()) {
			int end = covered;
			int reach = servers.stream()
				.flatMap((server) -> server.layers().stream())
				.filter((range) -> range.fromLayer() <= end)
				.mapToInt(LayerRange::toLayer)
				.max()
				.orElse(0);
			if (reach <= covered) {
				return UNREACHABLE;
			}
			hops++;
			covered = reach;
		}
		return hops;
	}

	/**
	 * Returns the entries of a layout that differ from the layers that engines have.
	 * @param servers the engines with their layers
	 * @param layout layers by identifier of the engine
	 * @return the layers of the engines that change theirs
	 */
	static Map<String, LayerRange> changes(Collection<PlacementServer> servers, Map<String, LayerRange> layout) {
		Map<String, LayerRange> changes = new LinkedHashMap<>();
		for (PlacementServer server : servers) {
			LayerRange range = layout.get(server.id());
			if (range != null && !range.equals(server.layers().orElse(null))) {
				changes.put(server.id(), range);
			}
		}
		return changes;
	}

	/**
	 * Returns the number of layers that an engine has to load for a new range.
	 * @param server the engine with its layers
	 * @param range the new range
	 * @return the number of layers
	 */
	static int loadedLayers(PlacementServer server, LayerRange range) {
		int kept = server.layers()
			.map((old) -> Math.min(old.toLayer(), range.toLayer()) - Math.max(old.fromLayer(), range.fromLayer()))
			.orElse(0);
		return range.length() - Math.max(0, kept);
	}

	private double weightFraction(AcceleratorKind kind, int layers) {
		return layers * this.pool.layerMb() / kind.memoryMb();
	}

	// Largest number of layers that leaves KV cache for MIN_REQUESTS.
	private int maxLayers(AcceleratorKind kind, double maxFraction) {
		double requestLayers = (double) MIN_REQUESTS * LayerCoverage.typicalTokens(this.pool);
		int layers = this.pool.maxLayers(kind);
		while (layers > 0 && (weightFraction(kind, layers) > maxFraction
				|| this.pool.tokenLayerCapacity(kind, layers) < requestLayers * layers)) {
			layers--;
		}
		return layers;
	}

	// Splits engines into groups with about the same amount of memory.
	private static List<List<PlacementServer>> splitByMemory(List<PlacementServer> group, int parts) {
		List<List<PlacementServer>> chains = new ArrayList<>();
		for (int i = 0; i < parts; i++) {
			chains.add(new ArrayList<>());
		}
		double[] memoryMb = new double[parts];
		Comparator<PlacementServer> largestFirst = Comparator
			.comparingDouble((server) -> -server.acceleratorKind().memoryMb());
		for (PlacementServer server : group.stream().sorted(largestFirst.thenComparing(PlacementServer::id)).toList()) {
			int least = 0;
			for (int i = 1; i < parts; i++) {
				least = (memoryMb[i] < memoryMb[least]) ? i : least;
			}
			chains.get(least).add(server);
			memoryMb[least] += server.acceleratorKind().memoryMb();
		}
		return chains;
	}

	// Divides the layers in proportion to memory.
	private Map<String, LayerRange> chainLayout(List<PlacementServer> chain, double maxFraction) {
		int[] limits = chain.stream().mapToInt((server) -> maxLayers(server.acceleratorKind(), maxFraction)).toArray();
		if (Arrays.stream(limits).sum() < this.pool.layers()) {
			return Map.of();
		}
		int[] counts = new int[chain.size()];
		for (int layer = 0; layer < this.pool.layers(); layer++) {
			int next = -1;
			double least = Double.MAX_VALUE;
			for (int i = 0; i < counts.length; i++) {
				double fraction = weightFraction(chain.get(i).acceleratorKind(), counts[i] + 1);
				if (counts[i] < limits[i] && fraction < least) {
					least = fraction;
					next = i;
				}
			}
			counts[next]++;
		}
		return consecutiveRanges(chain, counts);
	}

	// Orders the engines of a chain by zone, so that a token rarely crosses zones.
	private static Map<String, LayerRange> consecutiveRanges(List<PlacementServer> chain, int[] counts) {
		List<Integer> order = new ArrayList<>();
		for (int i = 0; i < counts.length; i++) {
			order.add(i);
		}
		order.sort(Comparator.comparing((Integer i) -> chain.get(i).availabilityZone())
			.thenComparing((i) -> chain.get(i).id()));
		Map<String, LayerRange> ranges = new LinkedHashMap<>();
		int from = 0;
		for (int i : order) {
			if (counts[i] > 0) {
				ranges.put(chain.get(i).id(), new LayerRange(from, from + counts[i]));
				from += counts[i];
			}
		}
		return ranges;
	}

	// Engines by first layer; those without layers, largest first, at the largest gaps.
	private List<PlacementServer> inOrder(Collection<PlacementServer> servers) {
		Map<Integer, Integer> gaps = LayerCoverage.of(this.pool, servers).gaps();
		Map<String, Integer> positions = new LinkedHashMap<>();
		Comparator<PlacementServer> largestFirst = Comparator
			.comparingDouble((server) -> -server.acceleratorKind().memoryMb());
		for (PlacementServer server : servers.stream()
			.sorted(largestFirst.thenComparing(PlacementServer::id))
			.toList()) {
			if (server.layers().isPresent()) {
				positions.put(server.id(), server.layers().get().fromLayer());
				continue;
			}
			int gap = gaps.entrySet()
				.stream()
				.max(Map.Entry.<Integer, Integer>comparingByValue()
					.thenComparing(Map.Entry.<Integer, Integer>comparingByKey().reversed()))
				.map(Map.Entry::getKey)
				.orElse(0);
			positions.put(server.id(), gap);
			gaps.computeIfPresent(gap, (from, missing) -> missing - maxLayers(server.acceleratorKind(), 1));
		}
		return servers.stream()
			.sorted(Comparator.comparing((PlacementServer server) -> positions.get(server.id()))
				.thenComparing(PlacementServer::id))
			.toList();
	}

	// Shortest path over (engines considered, layers covered). An engine keeps its range,
	// takes the layers after the covered ones, or is not part of the chain.
	private Map<String, LayerRange> cheapestMoves(List<PlacementServer> order, double maxFraction) {
		int layers = this.pool.layers();
		int[][] cost = new int[order.size() + 1][layers + 1];
		int[][] cameFrom = new int[order.size() + 1][layers + 1];
		for (int[] row : cost) {
			Arrays.fill(row, UNREACHABLE);
		}
		cost[0][0] = 0;
		for (int i = 0; i < order.size(); i++) {
			PlacementServer server = order.get(i);
			int limit = maxLayers(server.acceleratorKind(), maxFraction + 1e-9);
			for (int covered = 0; covered <= layers; covered++) {
				if (cost[i][covered] >= UNREACHABLE) {
					continue;
				}
				relax(cost, cameFrom, i, covered, covered, 0);
				int end = (server.layers().isPresent() && server.layers().get().fromLayer() <= covered)
						? Math.min(layers, server.layers().get().toLayer()) : 0;
				if (end > covered) {
					relax(cost, cameFrom, i, covered, end, 0);
				}
				for (int to = covered + 1; to <= Math.min(layers, covered + limit); to++) {
					relax(cost, cameFrom, i, covered, to,
							ORDER_COST + loadedLayers(server, new LayerRange(covered, to)));
				}
			}
		}
		return (cost[order.size()][layers] >= UNREACHABLE) ? Map.of() : moves(order, cost, cameFrom);
	}

	private static void relax(int[][] cost, int[][] cameFrom, int i, int covered, int to, int added) {
		if (cost[i][covered] + added < cost[i + 1][to]) {
			cost[i + 1][to] = cost[i][covered] + added;
			cameFrom[i + 1][to] = covered;
		}
	}

	private static Map<String, LayerRange> moves(List<PlacementServer> order, int[][] cost, int[][] cameFrom) {
		Map<String, LayerRange> moves = new LinkedHashMap<>();
		int covered = cost[0].length - 1;
		for (int i = order.size(); i > 0; i--) {
			int from = cameFrom[i][covered];
			if (cost[i][covered] > cost[i - 1][from]) {
				moves.put(order.get(i - 1).id(), new LayerRange(from, covered));
			}
			covered = from;
		}
		return moves;
	}

}
