package org.medlardrum.decisions.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
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
 * a token rarely crosses zones. Fewer chains leave more memory for requests, and more
 * chains have more slots at their first engines, so a zone has as many as run most
 * streams at once. Fast and slow engines are mixed: the weights of a separate chain of
 * the fast engines would take a third of the memory that all chains have left, while
 * every stream would still wait for its slowest engine. Within a chain the layers are
 * divided in proportion to memory, because the engine with the least free memory for each
 * layer limits the capacity of the chain. An engine that joins later takes the layers
 * that limit the zone.
 */
public final class LayerPlanner {

	private final ModelPool pool;

	private final ZoneLayout layouts;

	/**
	 * Creates a planner.
	 * @param pool parameters of the pool
	 */
	public LayerPlanner(ModelPool pool) {
		this.pool = pool;
		this.layouts = new ZoneLayout(pool);
	}

	/**
	 * Returns the layers that engines should load. Engines without layers get some. If no
	 * engine of a group gets any that way and the group has a layer that no engine holds,
	 * one engine whose layers are all held by others of its zone is reassigned. An
	 * availability zone that can hold a complete chain is a group of its own; all other
	 * zones form one group together.
	 * @param servers all engines that take requests, with the layers that they hold
	 * @return new layers by identifier of the engine
	 */
	public Map<String, LayerRange> plan(Collection<PlacementServer> servers) {
		List<PlacementServer> empty = servers.stream().filter((server) -> server.layers().isEmpty()).toList();
		Map<String, LayerRange> plan = new LinkedHashMap<>();
		if (empty.size() * 2 > servers.size()) {
			groups(empty).forEach((group) -> plan.putAll(this.layouts.layout(group)));
			List<PlacementServer> planned = LayerCoverage.withLayers(empty, plan);
			if (!plan.isEmpty()) {
				groups(planned).forEach((group) -> plan.putAll(additions(group, planned)));
			}
			return plan;
		}
		for (List<PlacementServer> group : groups(servers)) {
			Map<String, LayerRange> additions = additions(group, servers);
			plan.putAll((additions.isEmpty()) ? redundantMove(group, group, servers) : additions);
		}
		return plan;
	}

	/**
	 * Returns the groups of engines that form chains together: each zone that can hold a
	 * complete chain, and the engines of all other zones.
	 * @param servers the engines
	 * @return the groups, without empty ones
	 */
	List<List<PlacementServer>> groups(Collection<PlacementServer> servers) {
		Map<String, List<PlacementServer>> zones = new LinkedHashMap<>();
		servers.stream()
			.sorted(Comparator.comparing(PlacementServer::availabilityZone).thenComparing(PlacementServer::id))
			.forEach((server) -> zones.computeIfAbsent(server.availabilityZone(), (zone) -> new ArrayList<>())
				.add(server));
		List<List<PlacementServer>> groups = new ArrayList<>();
		List<PlacementServer> remaining = new ArrayList<>();
		for (List<PlacementServer> zone : zones.values()) {
			if (this.layouts.isViable(zone)) {
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

	/**
	 * Returns layers for the engines of a group that have none, one after the other where
	 * the group has the least KV cache capacity.
	 * @param group the engines of the group
	 * @param all all engines of the pool
	 * @return layers by identifier of the engine
	 */
	Map<String, LayerRange> additions(Collection<PlacementServer> group, Collection<PlacementServer> all) {
		LayerCoverage coverage = LayerCoverage.of(this.pool, group);
		Map<String, Integer> longest = longestRanges(all);
		Map<String, LayerRange> additions = new LinkedHashMap<>();
		for (PlacementServer server : group) {
			int length = typicalLength(server.acceleratorKind(), longest);
			if (server.layers().isEmpty() && length > 0) {
				LayerRange range = coverage.mostNeeded(length);
				additions.put(server.id(), range);
				coverage.add(server, range);
			}
		}
		return additions;
	}

	/**
	 * Returns the move of one engine that closes or shortens a gap of its group. All
	 * layers that it gives up are held by other engines of its zone.
	 * @param group the engines of the group, with the layers that they hold or are
	 * ordered to hold
	 * @param holding the engines of the group that hold the layers that they are listed
	 * with
	 * @param all all engines of the pool
	 * @return the move, empty if there is no gap or no such engine
	 */
	Map<String, LayerRange> redundantMove(Collection<PlacementServer> group, Collection<PlacementServer> holding,
			Collection<PlacementServer> all) {
		LayerCoverage coverage = LayerCoverage.of(this.pool, group);
		int missing = coverage.gapLayers();
		if (missing == 0) {
			return Map.of();
		}
		Map<String, LayerCoverage> heldByZone = new HashMap<>();
		holding.forEach((server) -> server.layers()
			.ifPresent((range) -> heldByZone
				.computeIfAbsent(server.availabilityZone(), (zone) -> new LayerCoverage(this.pool))
				.add(server, range)));
		Map<String, Integer> longest = longestRanges(all);
		Optional<PlacementServer> redundant = holding.stream()
			.filter((server) -> server.layers().isPresent())
			.filter((server) -> heldByZone.get(server.availabilityZone()).leastHolders(server.layers().get()) > 1)
			.max(Comparator.comparingDouble((PlacementServer server) -> server.acceleratorKind().memoryMb())
				.thenComparing(PlacementServer::id));
		if (redundant.isEmpty()) {
			return Map.of();
		}
		PlacementServer server = redundant.get();
		coverage.remove(server, server.layers().orElseThrow());
		int length = typicalLength(server.acceleratorKind(), longest);
		if (length < 1) {
			return Map.of();
		}
		LayerRange range = coverage.mostNeeded(length);
		coverage.add(server, range);
		return (coverage.gapLayers() < missing) ? Map.of(server.id(), range) : Map.of();
	}

	private static Map<String, Integer> longestRanges(Collection<PlacementServer> servers) {
		Map<String, Integer> longest = new HashMap<>();
		servers.forEach((server) -> server.layers()
			.ifPresent((range) -> longest.merge(server.acceleratorKind().name(), range.length(), Math::max)));
		return longest;
	}

	// Largest number of layers that an engine of the kind holds, so that a replacement
	// covers the layers of the engine that it replaces.
	private int typicalLength(AcceleratorKind kind, Map<String, Integer> longest) {
		int length = longest.getOrDefault(kind.name(), (int) (kind.memoryMb() / this.pool.layerMb() / 2));
		return Math.min(length, (int) (kind.memoryMb() * ZoneLayout.MAX_WEIGHT_MEMORY / this.pool.layerMb()));
	}

}
