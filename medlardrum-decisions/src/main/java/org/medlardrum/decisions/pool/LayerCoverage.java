package org.medlardrum.decisions.pool;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.ModelPool;

/**
 * KV cache capacity and number of holders of each layer over a set of engines.
 */
final class LayerCoverage {

	private final ModelPool pool;

	private final long[] tokens;

	private final int[] holders;

	private long firstEngineSlots;

	LayerCoverage(ModelPool pool) {
		this.pool = pool;
		this.tokens = new long[pool.layers()];
		this.holders = new int[pool.layers()];
	}

	/**
	 * Returns the coverage by engines with the layers that they are listed with.
	 * @param pool parameters of the pool
	 * @param servers the engines
	 * @return the coverage
	 */
	static LayerCoverage of(ModelPool pool, Collection<PlacementServer> servers) {
		LayerCoverage coverage = new LayerCoverage(pool);
		servers.forEach((server) -> server.layers().ifPresent((range) -> coverage.add(server, range)));
		return coverage;
	}

	/**
	 * Returns engines with the layers of a plan; engines without an entry keep theirs.
	 * @param servers the engines
	 * @param plan layers by identifier of the engine
	 * @return the engines
	 */
	static List<PlacementServer> withLayers(Collection<PlacementServer> servers, Map<String, LayerRange> plan) {
		return servers.stream()
			.map((server) -> (!plan.containsKey(server.id())) ? server
					: server.withLayers(Optional.of(plan.get(server.id()))))
			.toList();
	}

	void add(PlacementServer server, LayerRange range) {
		add(server, range, 1);
	}

	void remove(PlacementServer server, LayerRange range) {
		add(server, range, -1);
	}

	private void add(PlacementServer server, LayerRange range, int sign) {
		long tokensPerLayer = Math.max(1,
				this.pool.tokenLayerCapacity(server.acceleratorKind(), range.length()) / range.length());
		this.firstEngineSlots += (range.fromLayer() == 0) ? (long) sign * server.slots() : 0;
		for (int layer = range.fromLayer(); layer < Math.min(range.toLayer(), this.tokens.length); layer++) {
			this.tokens[layer] += sign * tokensPerLayer;
			this.holders[layer] += sign;
		}
	}

	boolean hasGap() {
		return gapLayers() > 0;
	}

	int gapLayers() {
		int missing = 0;
		for (int holding : this.holders) {
			missing += (holding <= 0) ? 1 : 0;
		}
		return missing;
	}

	/**
	 * Returns the layers that no engine holds, as consecutive ranges.
	 * @return first layer and number of layers of each gap
	 */
	Map<Integer, Integer> gaps() {
		Map<Integer, Integer> gaps = new HashMap<>();
		int length = 0;
		for (int layer = 0; layer <= this.holders.length; layer++) {
			if (layer < this.holders.length && this.holders[layer] <= 0) {
				length++;
			}
			else if (length > 0) {
				gaps.put(layer - length, length);
				length = 0;
			}
		}
		return gaps;
	}

	/**
	 * Returns the smallest number of holders of any layer of a range.
	 * @param range the range
	 * @return the number of holders
	 */
	int leastHolders(LayerRange range) {
		int least = Integer.MAX_VALUE;
		for (int layer = range.fromLayer(); layer < Math.min(range.toLayer(), this.holders.length); layer++) {
			least = Math.min(least, this.holders[layer]);
		}
		return least;
	}

	/**
	 * Returns how many typical requests the engines can run at the same time.
	 * @return the number of requests, 0 if a layer is missing
	 */
	double requests() {
		return capacity().requests();
	}

	/**
	 * Returns how many typical streams the engines can run at the same time, by resource.
	 * @return the capacity
	 */
	LayoutCapacity capacity() {
		double cacheRequests = (hasGap()) ? 0
				: (double) Arrays.stream(this.tokens).min().orElse(0) / typicalTokens(this.pool);
		return new LayoutCapacity(cacheRequests, this.firstEngineSlots);
	}

	/**
	 * Returns the prompt and generated tokens of a typical request.
	 * @param pool parameters of the pool
	 * @return the number of tokens
	 */
	static int typicalTokens(ModelPool pool) {
		return Math.max(1, pool.meanPromptTokens() + pool.meanGeneratedTokens());
	}

	/**
	 * Returns the range of a length that is most in need of an engine: the first layers
	 * if the slots of first engines limit the requests and at least two engines hold each
	 * layer, otherwise the range with the least KV cache. A layer of a single engine
	 * breaks all chains when that engine is lost.
	 * @param length number of layers
	 * @return the range
	 */
	LayerRange mostNeeded(int length) {
		int width = Math.min(length, this.tokens.length);
		if (capacity().limit() == CapacityLimit.FIRST_ENGINES && Arrays.stream(this.holders).min().orElse(0) > 1) {
			return new LayerRange(0, width);
		}
		int best = 0;
		long bestLeast = Long.MAX_VALUE;
		long bestSum = Long.MAX_VALUE;
		for (int from = 0; from + width <= this.tokens.length; from++) {
			long least = Long.MAX_VALUE;
			long sum = 0;
			for (int layer = from; layer < from + width; layer++) {
				least = Math.min(least, this.tokens[layer]);
				sum += this.tokens[layer];
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
