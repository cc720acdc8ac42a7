package org.medlardrum.gateway.internal.stream;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.medlardrum.decisions.pool.StreamLimits;
import org.medlardrum.gateway.internal.plain.PlainServers;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.gateway.internal.request.RequestDependencies;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Chooses servers of a plain service for streams.
 */
final class ServerChooser implements StreamServers {

	private final RequestDependencies dependencies;

	private final GatewayRequest request;

	private final PlainServers servers;

	private final BooleanSupplier mayHaveRun;

	/** Whether the request waits for a slot rather than in the queue of a server. */
	private boolean withinSlots = true;

	/**
	 * Creates a chooser.
	 * @param dependencies settings, state and shared objects
	 * @param request the request
	 * @param mayHaveRun whether a server may have run the request
	 */
	ServerChooser(RequestDependencies dependencies, GatewayRequest request, BooleanSupplier mayHaveRun) {
		this.dependencies = dependencies;
		this.request = request;
		this.servers = new PlainServers(dependencies, request);
		this.mayHaveRun = mayHaveRun;
	}

	@Override
	public double work() {
		return 1;
	}

	@Override
	public long estimatedDurationMs() {
		return this.servers.estimatedDurationMs();
	}

	// A request that a server may have run must not be lost for want of a slot.
	@Override
	public Optional<ReservedTarget> choose(Set<String> excluded, boolean resumes) {
		boolean mustFindSlot = this.withinSlots && !this.request.source().isHost() && !this.mayHaveRun.getAsBoolean();
		return this.servers.choose(excluded, mustFindSlot).map(this::reserve);
	}

	@Override
	public Optional<ReservedTarget> chooseSpare(Set<String> excluded, boolean resumes) {
		return this.servers.choose(excluded, false)
			.filter((server) -> utilisation(server) <= StreamLimits.SLOW_FAILOVER_MAX_UTILISATION)
			.map(this::reserve);
	}

	private ReservedTarget reserve(ServiceInstance server) {
		return new ReservedTarget(new StreamTarget.SingleServer(server), utilisation(server),
				this.servers.requests(server) + 1, server.slots(), this.dependencies.loads().reserveSlot(server.id()));
	}

	private double utilisation(ServiceInstance server) {
		return (this.servers.requests(server) + 1.0) / Math.max(1, server.slots());
	}

	@Override
	public boolean existWithoutLoad(Set<String> excluded) {
		return this.servers.hasUntried(excluded);
	}

	@Override
	public boolean allowQueueing() {
		this.withinSlots = false;
		return true;
	}

	@Override
	public void release(ReservedTarget chosen) {
		chosen.reservation().close();
	}

	@Override
	public void recordRefusal(StreamTarget target, List<ServiceInstance> refused, Optional<String> faultyAddress,
			int status) {
		// A server that refuses says nothing about others.
	}

	@Override
	public boolean hasSpareReceiver() {
		return true;
	}

	@Override
	public List<String> receivers() {
		return this.servers.ids();
	}

	@Override
	public String shortageDetail() {
		return "no server of the service is registered or may be sent more requests";
	}

	@Override
	public void logShortage(Set<String> excluded) {
		// The refusal is logged; plain services have one kind of capacity only.
	}

}
