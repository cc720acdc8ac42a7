package org.medlardrum.decisions.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;
import org.medlardrum.state.routing.ModelPool;

/**
 * Pools for tests, with the parameters from the users' data sheets.
 */
final class Pools {

	static final AcceleratorKind H100 = new AcceleratorKind("h100", 72_000, 1.4, 1);

	static final AcceleratorKind A100S = new AcceleratorKind("a100s", 36_000, 3.1, 3.2);

	static final AcceleratorKind L4 = new AcceleratorKind("l4", 21_600, 16, 8.2);

	static final AcceleratorKind T4 = new AcceleratorKind("t4", 14_400, 15, 15);

	static final ModelPool POOL = new ModelPool("model", 80, 1_750, 845_373, 0.85, 0.00547, 0.00734, 196, 14_000,
			Map.of("h100", H100, "a100s", A100S, "l4", L4, "t4", T4), Map.of(ModelPool.zonePairKey("a", "b"), 0.62,
					ModelPool.zonePairKey("a", "c"), 0.62, ModelPool.zonePairKey("b", "c"), 0.62),
			42_268, 13_000, 772, 167);

	/** The parameters of a site whose links between zones are scarce. */
	static final ModelPool SCARCE_LINKS_POOL = withLinks(POOL, 23_498, 4_300);

	/** The parameters of the users' sites with 23 to 33 engines in a zone. */
	static final ModelPool GROWN_POOL = new ModelPool("model", 80, 1_750, 561_000, 0.85, 0.00364, 0.00487, 294, 14_000,
			POOL.kinds(), POOL.zoneDelayMs(), 28_143, 8_400, 760, 171);

	/** Requests for which an engine can be the first of a chain, from the data sheets. */
	static final int SLOTS = 134;

	private Pools() {
	}

	static ModelPool withLinks(ModelPool pool, double activationBytes, double zoneLinkMbps) {
		return new ModelPool(pool.model(), pool.layers(), pool.layerMb(), 469_970, pool.stepMs(), pool.perSequenceMs(),
				pool.contextMsPerKiloToken(), pool.prefillTokensPerMs(), pool.loadMs(), pool.kinds(),
				pool.zoneDelayMs(), activationBytes, zoneLinkMbps, 772, 138);
	}

	/**
	 * Returns the 39 engines of the users' data sheets, without layers.
	 * @return the engines
	 */
	static List<PlacementServer> fleet() {
		List<PlacementServer> servers = new ArrayList<>();
		add(servers, H100, "c", 1);
		add(servers, A100S, "a", 1);
		add(servers, A100S, "b", 2);
		add(servers, A100S, "c", 1);
		add(servers, L4, "a", 8);
		add(servers, L4, "b", 4);
		add(servers, L4, "c", 5);
		add(servers, T4, "a", 3);
		add(servers, T4, "b", 7);
		add(servers, T4, "c", 7);
		return servers;
	}

	private static void add(List<PlacementServer> servers, AcceleratorKind kind, String zone, int count) {
		for (int i = 0; i < count; i++) {
			String id = kind.name() + '-' + zone + '-' + i;
			servers.add(new PlacementServer(id, "10.0.0.1:" + (8000 + servers.size()), zone, kind, Optional.empty(),
					SLOTS));
		}
	}

	/**
	 * Returns the engines that have layers in a plan.
	 * @param servers the engines
	 * @param plan layers by identifier
	 * @return the engines with their layers
	 */
	static List<PoolServer> placed(List<PlacementServer> servers, Map<String, LayerRange> plan) {
		return servers.stream()
			.filter((server) -> plan.containsKey(server.id()))
			.map((server) -> new PoolServer(server.id(), server.address(), server.availabilityZone(),
					server.acceleratorKind(), plan.get(server.id()), server.slots()))
			.toList();
	}

	static PoolSnapshot snapshot(List<PoolServer> servers, Map<String, ServerLoad> loads) {
		return new PoolSnapshot(POOL, servers, loads, (zone, server) -> false);
	}

}
