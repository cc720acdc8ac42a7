package org.medlardrum.gateway.internal.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.medlardrum.decisions.pool.PoolServer;
import org.medlardrum.state.routing.ModelPool;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.RoutingTable;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Immutable index of the registered backend servers and of the engines of the model pools
 * in the active configuration.
 */
public final class FleetView {

	private final Map<String, ServiceInstance> byId = new HashMap<>();

	private final Map<String, ServiceInstance> byAddress = new HashMap<>();

	private final Map<String, List<ServiceInstance>> byService = new HashMap<>();

	private final Map<String, List<PoolServer>> pools = new HashMap<>();

	FleetView(Collection<ServiceInstance> instances, RoutingTable table) {
		for (ServiceInstance instance : instances) {
			this.byId.put(instance.id(), instance);
			this.byAddress.put(instance.address(), instance);
			this.byService.computeIfAbsent(instance.service(), (service) -> new ArrayList<>()).add(instance);
		}
		if (table != null) {
			table.services()
				.forEach((service) -> service.pool()
					.ifPresent((pool) -> this.pools.put(service.name(), poolServers(instances(service.name()), pool))));
		}
	}

	private static List<PoolServer> poolServers(List<ServiceInstance> instances, ModelPool pool) {
		return instances.stream()
			.filter((instance) -> !instance.draining() && instance.layers().isPresent()
					&& pool.kinds().containsKey(instance.acceleratorKind()))
			.map((instance) -> new PoolServer(instance.id(), instance.address(), instance.availabilityZone(),
					pool.kinds().get(instance.acceleratorKind()), instance.layers().get(), instance.slots()))
			.toList();
	}

	/**
	 * Returns the servers of a service.
	 * @param service name of the service
	 * @return the servers, draining ones included
	 */
	public List<ServiceInstance> instances(String service) {
		return this.byService.getOrDefault(service, List.of());
	}

	/**
	 * Returns the engines of a service that hold layers and accept requests.
	 * @param service the service
	 * @return the engines
	 */
	public List<PoolServer> poolServers(RoutedService service) {
		return this.pools.getOrDefault(service.name(), List.of());
	}

	/**
	 * Returns a server.
	 * @param id identifier of the server instance
	 * @return the server, empty if it is not registered
	 */
	public Optional<ServiceInstance> instance(String id) {
		return Optional.ofNullable(this.byId.get(id));
	}

	/**
	 * Returns the server at an address.
	 * @param address {@code ip:port}
	 * @return the server, empty if it is not registered
	 */
	public Optional<ServiceInstance> atAddress(String address) {
		return Optional.ofNullable(this.byAddress.get(address));
	}

	/**
	 * Returns all servers.
	 * @return the servers
	 */
	public Collection<ServiceInstance> all() {
		return this.byId.values();
	}

}
