package org.medlardrum.decisions.pool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.medlardrum.state.LayerRange;

/**
 * Cheapest chains up to each layer that end in each availability zone. What depends on a
 * server or a pair of zones only is computed once, as the search visits each server at
 * many layers: with 200 servers the costs of all visits would take longer than the rest
 * of a request.
 */
final class ChainTable {

	private static final int NONE = -1;

	/** Whether an engine is excluded for a predecessor in a zone is not known yet. */
	private static final byte UNKNOWN = 0;

	private static final byte INCLUDED = 1;

	private static final byte EXCLUDED = 2;

	private final PoolSnapshot snapshot;

	private final ChainCosts costs;

	private final int layers;

	private final List<PoolServer> servers;

	private final List<String> zones;

	private final int[] zoneOfServer;

	private final byte[][] exclusions;

	/** Cost of a hop that is not the first one, by the zones of both engines. */
	private final double[][] hopCosts;

	/** Lowest cost up to a layer, by the zone of the last engine. */
	private final double[][] best;

	private final boolean[][] reached;

	/** Last engine of the cheapest chain, its first layer there, and the zone before. */
	private final int[][] lastServer;

	private final int[][] lastFromLayer;

	private final int[][] zoneBefore;

	/**
	 * Creates an empty table.
	 * @param snapshot the engines and their load
	 * @param request the request
	 * @param costs costs of the request
	 */
	ChainTable(PoolSnapshot snapshot, ChainRequest request, ChainCosts costs) {
		this.snapshot = snapshot;
		this.costs = costs;
		this.layers = snapshot.pool().layers();
		this.servers = snapshot.servers()
			.stream()
			.filter((server) -> server.layers().toLayer() <= this.layers)
			.toList();
		Map<String, Integer> zoneIndexes = new LinkedHashMap<>();
		zoneIndexes.put(request.availabilityZone(), 0);
		this.servers.forEach((server) -> zoneIndexes.putIfAbsent(server.availabilityZone(), zoneIndexes.size()));
		this.zones = List.copyOf(zoneIndexes.keySet());
		this.zoneOfServer = this.servers.stream()
			.mapToInt((server) -> zoneIndexes.get(server.availabilityZone()))
			.toArray();
		int zoneCount = this.zones.size();
		this.exclusions = new byte[zoneCount][this.servers.size()];
		this.hopCosts = new double[zoneCount][zoneCount];
		for (int from = 0; from < zoneCount; from++) {
			for (int to = 0; to < zoneCount; to++) {
				this.hopCosts[from][to] = costs.nextHop(this.zones.get(from), this.zones.get(to));
			}
		}
		this.best = new double[this.layers + 1][zoneCount];
		this.reached = new boolean[this.layers + 1][zoneCount];
		this.lastServer = new int[this.layers + 1][zoneCount];
		this.lastFromLayer = new int[this.layers + 1][zoneCount];
		this.zoneBefore = new int[this.layers + 1][zoneCount];
	}

	/**
	 * Finds the cheapest chain.
	 * @param maxUtilisation largest fraction of the KV cache that may be reserved
	 * @param allowPartialRanges whether an engine may run only a part of its layers
	 * @return the engines, empty when there is no chain
	 */
	Optional<List<ChainHop>> find(double maxUtilisation, boolean allowPartialRanges) {
		for (boolean[] reachedAtLayer : this.reached) {
			Arrays.fill(reachedAtLayer, false);
		}
		boolean[] splitPoints = splitPoints(allowPartialRanges);
		this.best[0][0] = 0;
		this.reached[0][0] = true;
		for (int layer = 0; layer < this.layers; layer++) {
			if (isReached(layer)) {
				extend(layer, maxUtilisation, splitPoints);
			}
		}
		int last = NONE;
		for (int zone = 0; zone < this.zones.size(); zone++) {
			if (this.reached[this.layers][zone]
					&& (last == NONE || this.best[this.layers][zone] < this.best[this.layers][last])) {
				last = zone;
			}
		}
		return (last == NONE) ? Optional.empty() : Optional.of(chainTo(last));
	}

	private boolean[] splitPoints(boolean allowPartialRanges) {
		boolean[] splitPoints = new boolean[this.layers + 1];
		if (allowPartialRanges) {
			this.servers.forEach((server) -> splitPoints[server.layers().fromLayer()] = true);
		}
		return splitPoints;
	}

	private boolean isReached(int layer) {
		for (boolean reachedInZone : this.reached[layer]) {
			if (reachedInZone) {
				return true;
			}
		}
		return false;
	}

	private void extend(int layer, double maxUtilisation, boolean[] splitPoints) {
		for (int index = 0; index < this.servers.size(); index++) {
			PoolServer server = this.servers.get(index);
			int from = server.layers().fromLayer();
			int to = server.layers().toLayer();
			if (from > layer || to <= layer || (layer == 0 && !mayBeFirst(server, maxUtilisation))) {
				continue;
			}
			int before = cheapestZoneBefore(layer, index);
			if (before == NONE) {
				continue;
			}
			double costBefore = this.best[layer][before] + hopCost(layer, before, index)
					+ ((layer == 0) ? this.costs.slotCost(server, index) : 0);
			for (int end = layer + 1; end <= to; end++) {
				if (end == to || splitPoints[end]) {
					relax(layer, end, index, before, costBefore, maxUtilisation);
				}
			}
		}
	}

	// Slots are left to more urgent ranks like KV cache.
	private boolean mayBeFirst(PoolServer server, double maxUtilisation) {
		return this.snapshot.load(server).headSequences() < server.slots() * Math.min(1, maxUtilisation)
				&& !this.snapshot.excludedAsFirst().test(server);
	}

	// Only chains that have not begun end at layer 0.
	private double hopCost(int layer, int zone, int server) {
		return (layer == 0) ? this.costs.firstHop(this.zones.get(this.zoneOfServer[server]))
				: this.hopCosts[zone][this.zoneOfServer[server]];
	}

	private int cheapestZoneBefore(int layer, int server) {
		int cheapest = NONE;
		double lowest = 0;
		for (int zone = 0; zone < this.zones.size(); zone++) {
			if (!this.reached[layer][zone]) {
				continue;
			}
			double hopCost = hopCost(layer, zone, server);
			double cost = this.best[layer][zone] + hopCost;
			if (hopCost < Double.POSITIVE_INFINITY && (cheapest == NONE || cost < lowest)
					&& !isExcluded(zone, server)) {
				lowest = cost;
				cheapest = zone;
			}
		}
		return cheapest;
	}

	private boolean isExcluded(int zone, int server) {
		byte known = this.exclusions[zone][server];
		if (known == UNKNOWN) {
			known = (this.snapshot.excluded().test(this.zones.get(zone), this.servers.get(server))) ? EXCLUDED
					: INCLUDED;
			this.exclusions[zone][server] = known;
		}
		return known == EXCLUDED;
	}

	private void relax(int layer, int end, int server, int before, double costBefore, double maxUtilisation) {
		double utilisation = this.costs.utilisation(this.servers.get(server), server, end - layer);
		if (utilisation > maxUtilisation) {
			return;
		}
		double cost = costBefore + this.costs.processing(this.servers.get(server), server, end - layer)
				* this.costs.utilisationFactor(utilisation);
		int zone = this.zoneOfServer[server];
		if (!this.reached[end][zone] || cost < this.best[end][zone]) {
			this.reached[end][zone] = true;
			this.best[end][zone] = cost;
			this.lastServer[end][zone] = server;
			this.lastFromLayer[end][zone] = layer;
			this.zoneBefore[end][zone] = before;
		}
	}

	private List<ChainHop> chainTo(int lastZone) {
		List<ChainHop> hops = new ArrayList<>();
		int zone = lastZone;
		for (int layer = this.layers; layer > 0;) {
			int from = this.lastFromLayer[layer][zone];
			hops.add(new ChainHop(this.servers.get(this.lastServer[layer][zone]), new LayerRange(from, layer)));
			zone = this.zoneBefore[layer][zone];
			layer = from;
		}
		Collections.reverse(hops);
		return hops;
	}

}
