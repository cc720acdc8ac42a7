package org.medlardrum.gateway.internal.load;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;

import org.medlardrum.decisions.pool.ZoneLinkBudget;
import org.medlardrum.state.routing.ModelPool;
import org.medlardrum.state.routing.RoutedService;

/**
 * This host's shares of the links between availability zones, for each model pool.
 */
public final class ZoneLinks {

	private final IntSupplier peerCount;

	private final Map<String, PoolBudget> budgets = new ConcurrentHashMap<>();

	/**
	 * Creates the shares.
	 * @param peerCount supplies the number of other live hosts
	 */
	public ZoneLinks(IntSupplier peerCount) {
		this.peerCount = peerCount;
	}

	/**
	 * Returns the budget of a model pool. A configuration that changes the pool begins
	 * with full buckets.
	 * @param service the service of the pool
	 * @return the budget with the current number of hosts
	 */
	public ZoneLinkBudget budget(RoutedService service) {
		ModelPool pool = service.pool().orElseThrow();
		ZoneLinkBudget budget = this.budgets.compute(service.name(),
				(name, known) -> (known != null && known.pool.equals(pool)) ? known
						: new PoolBudget(pool, new ZoneLinkBudget(pool))).budget;
		budget.updatePeers(this.peerCount.getAsInt());
		return budget;
	}

	private record PoolBudget(ModelPool pool, ZoneLinkBudget budget) {
	}

}
