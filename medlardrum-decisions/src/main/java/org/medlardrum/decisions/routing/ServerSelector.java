package org.medlardrum.decisions.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.medlardrum.state.routing.ServiceInstance;

/**
 * Chooses the server of a plain service: the one with the smallest load relative to its
 * slots among those not tried yet. A server that is slow or failed recently is used only
 * when no other is left.
 */
public final class ServerSelector {

	/**
	 * Cost of another availability zone, as additional load; below the cost of queueing.
	 */
	private static final double OTHER_ZONE_LOAD = 0.05;

	/** Cost of an excluded server, as additional load; larger than any real load. */
	private static final double EXCLUDED_LOAD = 1000;

	private ServerSelector() {
	}

	/**
	 * Chooses a server.
	 * @param servers servers of the service
	 * @param availabilityZone availability zone of the entry host
	 * @param tried identifiers of servers to which the request was already sent
	 * @param load outstanding requests of a server, divided by its slots
	 * @param excluded whether a server is to be used only as the last resort, because it
	 * failed recently
	 * @return the server, empty when none is left
	 */
	public static Optional<ServiceInstance> choose(Collection<ServiceInstance> servers, String availabilityZone,
			Set<String> tried, ToDoubleFunction<ServiceInstance> load, Predicate<ServiceInstance> excluded) {
		Comparator<ServiceInstance> byCost = Comparator
			.comparingDouble((server) -> load.applyAsDouble(server) + ((excluded.test(server)) ? EXCLUDED_LOAD : 0)
					+ ((server.availabilityZone().equals(availabilityZone)) ? 0 : OTHER_ZONE_LOAD));
		return servers.stream()
			.filter((server) -> !server.draining() && !tried.contains(server.id()))
			.min(byCost.thenComparing(ServiceInstance::id));
	}

}
