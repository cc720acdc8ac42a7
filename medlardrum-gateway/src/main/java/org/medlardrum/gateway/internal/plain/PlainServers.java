package org.medlardrum.gateway.internal.plain;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.medlardrum.decisions.pool.ServerLoad;
import org.medlardrum.decisions.routing.ServerSelector;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.gateway.internal.request.RequestDependencies;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Chooses the server of a plain request from the servers, loads and suspicions recorded
 * at this host.
 */
public final class PlainServers {

	/**
	 * Part of the target latency that a request is expected to take before any has ended.
	 */
	private static final int ESTIMATE_DIVISOR = 2;

	private final RequestDependencies dependencies;

	private final GatewayRequest request;

	/**
	 * Creates a choice of servers.
	 * @param dependencies settings, state and shared objects
	 * @param request the request
	 */
	public PlainServers(RequestDependencies dependencies, GatewayRequest request) {
		this.dependencies = dependencies;
		this.request = request;
	}

	/**
	 * Chooses a server.
	 * @param tried identifiers of servers to which the request was already sent
	 * @param withinSlots whether servers whose slots are taken are excluded where
	 * requests wait for capacity
	 * @return the server, empty if none is left
	 */
	public Optional<ServiceInstance> choose(Set<String> tried, boolean withinSlots) {
		Map<String, ServerLoad> loads = this.dependencies.loads().total(this.dependencies.nowMs());
		Set<String> unavailable = new HashSet<>(tried);
		ids().stream().filter((id) -> !this.dependencies.permits().mayReceive(id)).forEach(unavailable::add);
		if (withinSlots) {
			addFull(unavailable, loads);
		}
		Optional<ServiceInstance> preferred = choose(unavailable, loads);
		preferred.ifPresent((server) -> this.dependencies.limits().recordDemand(server.id()));
		if (preferred.isEmpty() || this.dependencies.limits().isAllowed(preferred.get().id())) {
			return preferred;
		}
		Set<String> excludedServers = new HashSet<>(unavailable);
		ids().stream().filter((id) -> !this.dependencies.limits().isAllowed(id)).forEach(excludedServers::add);
		Optional<ServiceInstance> other = choose(excludedServers, loads);
		this.dependencies.limits().logMove(this.request.id(), preferred.get().id(), other.map(ServiceInstance::id));
		return other;
	}

	// Where requests wait for capacity, a server gets no more than its slots. A request
	// waits for a full server rather than go to one that may be dead.
	private void addFull(Set<String> unavailable, Map<String, ServerLoad> loads) {
		OptionalDouble reserved = this.dependencies.admissions()
			.reservedShare(this.request.service(), this.request.rank(), this.request.route().rank(),
					this.request.organisationName());
		if (reserved.isEmpty()) {
			return;
		}
		List<ServiceInstance> usable = instances().stream()
			.filter((server) -> !server.draining() && !unavailable.contains(server.id()))
			.toList();
		List<ServiceInstance> full = usable.stream()
			.filter((server) -> sequences(server, loads) >= Math.max(1,
					Math.floor(server.slots() * (1 - reserved.getAsDouble()))))
			.toList();
		full.forEach((server) -> unavailable.add(server.id()));
		if (!full.stream().allMatch(this::isSuspect)) {
			usable.stream().filter(this::isSuspect).forEach((server) -> unavailable.add(server.id()));
		}
	}

	/**
	 * Returns the requests of all hosts at a server.
	 * @param server the server
	 * @return the number of requests
	 */
	public int requests(ServiceInstance server) {
		return sequences(server, this.dependencies.loads().total(this.dependencies.nowMs()));
	}

	private static int sequences(ServiceInstance server, Map<String, ServerLoad> loads) {
		return loads.getOrDefault(server.id(), ServerLoad.NONE).sequences();
	}

	private boolean isSuspect(ServiceInstance server) {
		return this.dependencies.state()
			.isSuspect(this.dependencies.settings().availabilityZone(), server.id(), server.availabilityZone());
	}

	private Optional<ServiceInstance> choose(Set<String> excludedServers, Map<String, ServerLoad> loads) {
		return ServerSelector.choose(instances(), this.dependencies.settings().availabilityZone(), excludedServers,
				(server) -> (double) sequences(server, loads) / Math.max(1, server.slots()), this::isSuspect);
	}

	/**
	 * Returns whether a server is left to which the request was not sent, full or not.
	 * @param tried identifiers of servers to which the request was already sent
	 * @return {@code true} if free capacity alone would let the request start
	 */
	public boolean hasUntried(Set<String> tried) {
		return instances().stream()
			.anyMatch((server) -> !server.draining() && !tried.contains(server.id())
					&& this.dependencies.permits().mayReceive(server.id()));
	}

	/**
	 * Returns how long the request is expected to occupy a slot before any request of the
	 * service has ended.
	 * @return the duration in milliseconds
	 */
	public long estimatedDurationMs() {
		return this.request.route().targetLatencyMs() / ESTIMATE_DIVISOR;
	}

	/**
	 * Returns the servers of the service.
	 * @return their identifiers
	 */
	public List<String> ids() {
		return instances().stream().map(ServiceInstance::id).toList();
	}

	private List<ServiceInstance> instances() {
		return this.dependencies.state().fleet().instances(this.request.service().name());
	}

}
