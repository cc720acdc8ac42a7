package org.medlardrum.decisions.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.medlardrum.state.routing.ServiceInstance;

/**
 * Chooses the server of a plain service: the one with the smallest load for its slots
 * among those not tried yet. It answers the load in which one server is slow or fails:
 * such a server is used only when no other is left.
 */
public final class ServerSelector {

	/** Cost of another availability zone, in used slots; below the cost of queueing. */
	private static final double OTHER_ZONE_LOAD = 0.05;

	/** Cost of a server to avoid; larger than any real load. */
	private static final double AVOIDED_LOAD = 1000;

	private ServerSelector() {
	}

	/**
	 * Chooses a server.
	 * @param servers servers of the service
	 * @param availabilityZone availability zone of the entry host
	 * @param tried identifiers of servers that the request was sent to
	 * @param load requests at a server for each slot
	 * @param avoided whether a server failed lately
	 * @return the server, empty when none is left
	 */
	public static Optional<ServiceInstance> choose(Collection<ServiceInstance> servers, String availabilityZone,
			Set<String> tried, ToDoubleFunction<ServiceInstance> load, Predicate<ServiceInstance> avoided) {
		Comparator<ServiceInstance> byCost = Comparator
			.comparingDouble((server) -> load.applyAsDouble(server) + ((avoided.test(server)) ? AVOIDED_LOAD : 0)
					+ ((server.availabilityZone().equals(availabilityZone)) ? 0 : OTHER_ZONE_LOAD));
		return servers.stream()
			.filter((server) -> !server.draining() && !tried.contains(server.id()))
			.min(byCost.thenComparing(ServiceInstance::id));
	}

}
