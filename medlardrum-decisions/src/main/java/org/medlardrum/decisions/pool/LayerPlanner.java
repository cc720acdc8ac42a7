package org.medlardrum.decisions.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;
import org.medlardrum.state.routing.ModelPool;

/**
 * Decides which layers each engine holds. The engines of an availability zone, fast and
 * slow ones, form one chain or a few, so that an isolated zone still serves requests and
 * a token rarely crosses zones. Fewer chains leave more memory for requests: the weights
 * of a separate chain of the fast engines would take a third of the memory that all
 * chains have left, while every stream would still wait for its slowest engine. Within a
 * chain the layers are divided in proportion to memory, because the engine with the least
 * free memory for each layer limits the capacity of the chain. An engine that joins later
 * takes the layers with the least KV cache capacity.
 */
public final class LayerPlanner {

	/**
	 * Minimum memory of a chain, relative to the weights. With less, more than four
	 * fifths of the memory would hold weights, and the chain could run only a few
	 * requests.
	 */
	private static final double MIN_CHAIN_MEMORY = 1.25;

	/**
	 * Memory for each chain when a zone is divided into several, relative to the weights.
	 * More than half of it is left to requests.
	 */
	private static final double TARGET_CHAIN_MEMORY = 2.4;

	/** Largest fraction of an engine's memory that weights may take. */
	private static final double MAX_WEIGHT_MEMORY = 0.9;

	private final ModelPool pool;

	/**
	 * Creates a planner.
	 * @param pool parameters of the pool
	 */
	public LayerPlanner(ModelPool pool) {
		this.pool = pool;
	}

	/**
	 * Returns the layers that engines should load. Engines without layers get some. If a
	 * group has layers that no engine holds and no engine to which they can be assigned
	 * that way, one engine whose layers are also held by others is reassigned.
	 * @param servers all engines that take requests, with the layers that they hold or
	 * have been ordered to load
	 * @return new layers by identifier of the engine
	 */
	public Map<String, LayerRange> plan(Collection<PlacementServer> servers) {
		List<PlacementServer> empty = servers.stream().filter((server) -> server.layers().isEmpty()).toList();
		if (empty.size() * 2 > servers.size()) {
			return planChains(empty);
		}
		Map<String, LayerRange> plan = new LinkedHashMap<>();
		groups(servers).forEach((group) -> plan.putAll(planSingleEngines(group, servers)));
		return plan;
	}

	/**
	 * Returns whether a server's group has layers that none of its engines holds.
	 * @param server the server
	 * @param servers all engines that take requests
	 * @return {@code true} if the group cannot serve requests on its own
	 */
	public boolean hasGap(PlacementServer server, Collection<PlacementServer> servers) {
		return groups(servers).stream()
			.filter((group) -> group.stream().anyMatch((other) -> other.id().equals(server.id())))
			.anyMatch((group) -> hasGap(coverage(group)));
	}

	// A zone with enough memory for a chain forms its own group; all other zones form one
	// group together.
	private List<List<PlacementServer>> groups(Collection<PlacementServer> servers) {
		List<List<PlacementServer>> groups = new ArrayList<>();
		List<PlacementServer> remaining = new ArrayList<>();
		for (List<PlacementServer> zone : byZone(List.copyOf(servers)).values()) {
			if (memoryMb(zone) >= MIN_CHAIN_MEMORY * this.pool.layers() * this.pool.layerMb()) {
				groups.add(zone);
			}
			else {
				remaining.addAll(zone);
			}
		}
		if (!remaining.isEmpty()) {
			groups.add(remaining);
		}
		return groups;
	}

	// Assigns complete chains to engines without layers.
	private Map<String, LayerRange> planChains(List<PlacementServer> empty) {
		Map<String, LayerRange> plan = new LinkedHashMap<>();
		List<PlacementServer> remaining = new ArrayList<>();
		byZone(empty).values().forEach((zone) -> placeGroup(zone, plan, remaining));
		placeGroup(remaining, plan, new ArrayList<>());
		List<PlacementServer> placed = new ArrayList<>();
		List<PlacementServer> unplaced = new ArrayList<>();
		for (PlacementServer server : empty) {
			LayerRange range = plan.get(server.id());
			if (range != null) {
				placed.add(new PlacementServer(server.id(), server.address(), server.availabilityZone(),
						server.acceleratorKind(), Optional.of(range)));
			}
			else {
				unplaced.add(server);
			}
		}
		if (!placed.isEmpty() && !unplaced.isEmpty()) {
			placed.addAll(unplaced);
			plan.putAll(plan(placed));
		}
		return plan;
	}

	private static Map<String, List<PlacementServer>> byZone(List<PlacementServer> servers) {
		Map<String, List<PlacementServer>> zones = new LinkedHashMap<>();
		servers.stream()
			.sorted(Comparator.comparing(PlacementServer::availabilityZone).thenComparing(PlacementServer::id))
			.forEach((server) -> zones.computeIfAbsent(server.availabilityZone(), (zone) -> new ArrayList<>())
				.add(server));
		return zones;
	}

	private void placeGroup(List<PlacementServer> group, Map<String, LayerRange> plan, List<PlacementServer> unplaced) {
		double weightsMb = this.pool.layers() * this.pool.layerMb();
		double memoryMb = group.stream().mapToDouble((server) -> server.acceleratorKind().memoryMb()).sum();
		if (memoryMb < MIN_CHAIN_MEMORY * weightsMb) {
			unplaced.addAll(group);
			return;
		}
		int chains = Math.max(1, (int) (memoryMb / (TARGET_CHAIN_MEMORY * weightsMb)));
		for (List<PlacementServer> chain : splitByMemory(group, chains)) {
			Map<String, LayerRange> ranges = proportionalRanges(chain);
			if (ranges.isEmpty()) {
				unplaced.addAll(chain);
			}
			plan.putAll(ranges);
		}
	}

	// Splits engines into groups with about the same amount of memory.
	private static List<List<PlacementServer>> splitByMemory(List<PlacementServer> group, int parts) {
		List<List<PlacementServer>> chains = new ArrayList<>();
		for (int i = 0; i < parts; i++) {
			chains.add(new ArrayList<>());
		}
		Comparator<PlacementServer> largestFirst = Comparator
			.comparingDouble((server) -> -server.acceleratorKind().memoryMb());
		for (PlacementServer server : group.stream().sorted(largestFirst.thenComparing(PlacementServer::id)).toList()) {
			chains.stream().min(Comparator.comparingDouble(LayerPlanner::memoryMb)).orElseThrow().add(server);
		}
		return chains;
	}

	private static double memoryMb(List<PlacementServer> servers) {
		return servers.stream().mapToDouble((server) -> server.acceleratorKind().memoryMb()).sum();
	}

	private Map<String, LayerRange> proportionalRanges(List<PlacementServer> chain) {
		int[] counts = new int[chain.size()];
		for (int layer = 0; layer < this.pool.layers(); layer++) {
			int next = -1;
			double least = Double.MAX_VALUE;
			for (int i = 0; i < counts.length; i++) {
				AcceleratorKind kind = chain.get(i).acceleratorKind();
				double weightFraction = (counts[i] + 1) * this.pool.layerMb() / kind.memoryMb();
				if (weightFraction <= MAX_WEIGHT_MEMORY && weightFraction < least) {
					least = weightFraction;
					next = i;
				}
			}
			if (next < 0) {
				return Map.of();
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

	// Assigns layers to single engines where their group has the least KV cache capacity.
	private Map<String, LayerRange> planSingleEngines(List<PlacementServer> group, Collection<PlacementServer> all) {
		double[] tokens = coverage(group);
		Map<String, LayerRange> plan = new LinkedHashMap<>();
		for (PlacementServer server : group) {
			if (server.layers().isEmpty()) {
				chooseRange(server, all, tokens).ifPresent((range) -> {
					plan.put(server.id(), range);
					add(tokens, server.acceleratorKind(), range);
				});
			}
		}
		if (plan.isEmpty() && hasGap(tokens)) {
			findRedundant(group).ifPresent((server) -> {
				remove(tokens, server.acceleratorKind(), server.layers().orElseThrow());
				chooseRange(server, all, tokens).filter((range) -> !range.equals(server.layers().orElseThrow()))
					.ifPresent((range) -> plan.put(server.id(), range));
			});
		}
		return plan;
	}

	private Optional<LayerRange> chooseRange(PlacementServer server, Collection<PlacementServer> all, double[] tokens) {
		int length = typicalLength(server.acceleratorKind(), all);
		return (length < 1) ? Optional.empty() : Optional.of(leastCoveredRange(tokens, length));
	}

	private Optional<PlacementServer> findRedundant(List<PlacementServer> group) {
		return group.stream()
			.filter((server) -> server.layers().isPresent())
			.filter((server) -> isCoveredByOthers(server, group))
			.max(Comparator.comparingDouble((PlacementServer server) -> server.acceleratorKind().memoryMb())
				.thenComparing(PlacementServer::id));
	}

	private boolean isCoveredByOthers(PlacementServer server, List<PlacementServer> group) {
		double[] tokens = coverage(group);
		LayerRange range = server.layers().orElseThrow();
		remove(tokens, server.acceleratorKind(), range);
		for (int layer = range.fromLayer(); layer < Math.min(range.toLayer(), tokens.length); layer++) {
			if (tokens[layer] <= 0) {
				return false;
			}
		}
		return true;
	}

	private double[] coverage(Collection<PlacementServer> servers) {
		double[] tokens = new double[this.pool.layers()];
		for (PlacementServer server : servers) {
			server.layers().ifPresent((range) -> add(tokens, server.acceleratorKind(), range));
		}
		return tokens;
	}

	private static boolean hasGap(double[] tokens) {
		for (double each : tokens) {
			if (each <= 0) {
				return true;
			}
		}
		return false;
	}

	private void remove(double[] tokens, AcceleratorKind kind, LayerRange range) {
		add(tokens, kind, range, -1);
	}

	private void add(double[] tokens, AcceleratorKind kind, LayerRange range) {
		add(tokens, kind, range, 1);
	}

	private void add(double[] tokens, AcceleratorKind kind, LayerRange range, int sign) {
		// A whole number, so that adding and removing an engine leaves exactly zero,
		// which marks a layer that no engine holds.
		long tokensPerLayer = Math.max(1, this.pool.tokenLayerCapacity(kind, range.length()) / range.length());
		for (int layer = range.fromLayer(); layer < Math.min(range.toLayer(), tokens.length); layer++) {
			tokens[layer] += sign * tokensPerLayer;
		}
	}

	// Largest number of layers that an engine of the kind holds, so that a replacement
	// covers the layers of the engine that it replaces.
	private int typicalLength(AcceleratorKind kind, Collection<PlacementServer> servers) {
		int longest = servers.stream()
			.filter((server) -> server.acceleratorKind().name().equals(kind.name()))
			.flatMap((server) -> server.layers().stream())
			.mapToInt(LayerRange::length)
			.max()
			.orElse((int) (kind.memoryMb() / this.pool.layerMb() / 2));
		return Math.min(longest, (int) (kind.memoryMb() * MAX_WEIGHT_MEMORY / this.pool.layerMb()));
	}

	private static LayerRange leastCoveredRange(double[] tokens, int length) {
		int width = Math.min(length, tokens.length);
		int best = 0;
		double bestLeast = Double.MAX_VALUE;
		double bestSum = Double.MAX_VALUE;
		for (int from = 0; from + width <= tokens.length; from++) {
			double least = Double.MAX_VALUE;
			double sum = 0;
			for (int layer = from; layer < from + width; layer++) {
				least = Math.min(least, tokens[layer]);
				sum += tokens[layer];
			}
			if (least < bestLeast || (least == bestLeast && sum < bestSum)) {
				best = from;
				bestLeast = least;
				bestSum = sum;
			}
		}
		return new LayerRange(best, best + width);
	}

}
