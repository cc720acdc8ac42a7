package org.medlardrum.gateway.internal.stream;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.decisions.pool.ChainRequest;
import org.medlardrum.decisions.pool.ChainSearch;
import org.medlardrum.decisions.pool.ChainShortage;
import org.medlardrum.decisions.pool.ChainZones;
import org.medlardrum.decisions.pool.LinkLimitedSearch;
import org.medlardrum.decisions.pool.PoolServer;
import org.medlardrum.decisions.pool.PoolSnapshot;
import org.medlardrum.decisions.pool.StreamLimits;
import org.medlardrum.decisions.pool.ZoneLinkBudget;
import org.medlardrum.gateway.internal.load.Reservation;
import org.medlardrum.gateway.internal.load.ServerLimits;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.gateway.internal.request.RequestDependencies;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.ServerStart;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Chooses engine chains from the servers, loads and suspicions recorded at this host.
 */
final class ChainChooser {

	private final RequestDependencies dependencies;

	private final String requestId;

	private final String organisation;

	private final int routeRank;

	private final BooleanSupplier mayHaveRun;

	/**
	 * The chain for which the stream has overdrawn the budget of a link between zones,
	 * {@code null} if there is none.
	 */
	private List<ChainHop> overdrawnFor;

	/** Whether it is logged that a link has no room for the request. */
	private boolean linkLimitLogged;

	/**
	 * Creates a chooser.
	 * @param dependencies settings, state and shared objects
	 * @param request the request
	 * @param mayHaveRun whether an engine may have run the request
	 */
	ChainChooser(RequestDependencies dependencies, GatewayRequest request, BooleanSupplier mayHaveRun) {
		this.dependencies = dependencies;
		this.requestId = request.id();
		this.organisation = request.organisationName();
		this.routeRank = request.route().rank();
		this.mayHaveRun = mayHaveRun;
	}

	/**
	 * Chooses a chain and reserves it.
	 * @param service the service
	 * @param request requirements of the chain
	 * @param excluded identifiers of engines that must not be used
	 * @param resumes whether the caller has already received events of the stream
	 * @return the chain, empty if none has free capacity
	 */
	Optional<ReservedChain> choose(RoutedService service, ChainRequest request, Set<String> excluded, boolean resumes) {
		PoolSnapshot snapshot = snapshot(service, excluded);
		Optional<List<ChainHop>> chain = (service.hasScarceZoneLinks())
				? findWithinLinks(service, snapshot, request, resumes) : findWithinLimits(snapshot, request, resumes);
		return chain.map((hops) -> {
			double cacheUtilisation = hops.stream()
				.mapToDouble((hop) -> snapshot.utilisation(hop.server(),
						(long) request.tokensAtEnd() * hop.layers().length()))
				.max()
				.orElse(0);
			Reservation reservation = this.dependencies.loads().reserve(hops, request.tokensAtEnd());
			PoolServer first = hops.getFirst().server();
			return new ReservedChain(hops, cacheUtilisation, snapshot.load(first).headSequences() + 1, reservation);
		});
	}

	// Only the first engine of a chain receives the request, so only its limit counts.
	private Optional<List<ChainHop>> findWithinLimits(PoolSnapshot snapshot, ChainRequest request, boolean resumes) {
		ServerLimits limits = this.dependencies.limits();
		Optional<List<ChainHop>> preferred = find(snapshot, request, resumes);
		Optional<String> first = preferred.map((hops) -> hops.getFirst().server().id());
		first.ifPresent(limits::recordDemand);
		if (first.isEmpty() || limits.isAllowed(first.get())) {
			return preferred;
		}
		Optional<List<ChainHop>> other = find(
				snapshot.withExcludedAsFirst(snapshot.excludedAsFirst().or((server) -> !limits.isAllowed(server.id()))),
				request, resumes);
		limits.logMove(this.requestId, first.get(), other.map((hops) -> hops.getFirst().server().id()));
		return other;
	}

	// Takes the tokens that cross zones from this host's shares of the links.
	private Optional<List<ChainHop>> findWithinLinks(RoutedService service, PoolSnapshot snapshot, ChainRequest request,
			boolean resumes) {
		ServerLimits limits = this.dependencies.limits();
		ZoneLinkBudget budget = this.dependencies.zoneLinks().budget(service);
		long nowMs = this.dependencies.nowMs();
		double maxUtilisation = (resumes) ? StreamLimits.RESUME_MAX_UTILISATION : maxUtilisation(service, request);
		LinkLimitedSearch.ChainChoice choice = linkLimitedSearch(snapshot, budget, nowMs).find(request, maxUtilisation,
				resumes && this.overdrawnFor == null);
		Optional<String> first = choice.preferred().map((hops) -> hops.getFirst().server().id());
		first.ifPresent(limits::recordDemand);
		if (first.isPresent() && !limits.isAllowed(first.get())) {
			limits.logMove(this.requestId, first.get(), choice.chain().map((hops) -> hops.getFirst().server().id()));
		}
		choice.chain().ifPresent((hops) -> {
			if (!budget.shortLinks(hops, request.tokensAtEnd(), nowMs).isEmpty()) {
				this.overdrawnFor = hops;
			}
			budget.take(hops, request.tokensAtEnd(), nowMs);
		});
		if (choice.chain().isEmpty() && !choice.refusedLinks().isEmpty()) {
			recordLinkLimit(choice.refusedLinks(), budget, request, nowMs);
		}
		return choice.chain();
	}

	// Leaves the more urgent ranks what they need, instead of a fixed fraction. A stream
	// that an engine may have run would be lost for the reserve, so it takes from it.
	private double maxUtilisation(RoutedService service, ChainRequest request) {
		if (this.mayHaveRun.getAsBoolean()) {
			return ChainSearch.maxUtilisation(request.rank());
		}
		OptionalDouble reserved = this.dependencies.admissions()
			.reservedShare(service, request.rank(), this.routeRank, this.organisation);
		return (reserved.isPresent()) ? ChainSearch.maxUtilisation(0) - reserved.getAsDouble()
				: ChainSearch.maxUtilisation(request.rank());
	}

	/**
	 * Returns whether a chain exists for a request if no engine has any load.
	 * @param service the service
	 * @param request requirements of the chain
	 * @param excluded identifiers of engines that must not be used
	 * @return {@code false} if free capacity alone does not make a chain
	 */
	boolean hasChain(RoutedService service, ChainRequest request, Set<String> excluded) {
		PoolSnapshot snapshot = snapshot(service, excluded);
		return new ChainSearch(new PoolSnapshot(snapshot.pool(), snapshot.servers(), Map.of(), snapshot.excluded(),
				snapshot.excludedAsFirst()))
			.find(request, 1)
			.isPresent();
	}

	/**
	 * Returns why a request finds no chain.
	 * @param service the service
	 * @param request requirements of the chain
	 * @param excluded identifiers of engines that must not be used
	 * @return the shortage
	 */
	ChainShortage shortage(RoutedService service, ChainRequest request, Set<String> excluded) {
		return ChainShortage.of(snapshot(service, excluded), request, maxUtilisation(service, request));
	}

	private LinkLimitedSearch linkLimitedSearch(PoolSnapshot snapshot, ZoneLinkBudget budget, long nowMs) {
		return new LinkLimitedSearch(snapshot, budget, (server) -> !this.dependencies.limits().isAllowed(server.id()),
				nowMs);
	}

	// Searches are repeated while a stream waits for a chain, so only the first is
	// logged.
	private void recordLinkLimit(Set<String> links, ZoneLinkBudget budget, ChainRequest request, long nowMs) {
		this.dependencies.metrics().countRefusedCrossing();
		if (!this.linkLimitLogged) {
			this.linkLimitLogged = true;
			links.forEach((link) -> this.dependencies.log()
				.event("stream", "link-limited", "id", this.requestId, "link", link, "tokens", request.tokensAtEnd(),
						"balance", budget.balanceTokens(link, nowMs)));
		}
	}

	/**
	 * Returns what a chain took from the budgets of the links when it has not been
	 * executed.
	 * @param service the service
	 * @param request requirements for which the chain was chosen
	 * @param chain the chain
	 */
	void giveBackTokens(RoutedService service, ChainRequest request, List<ChainHop> chain) {
		if (service.hasScarceZoneLinks()) {
			this.dependencies.zoneLinks()
				.budget(service)
				.giveBack(chain, request.tokensAtEnd(), this.dependencies.nowMs());
			this.overdrawnFor = (this.overdrawnFor == chain) ? null : this.overdrawnFor;
		}
	}

	/**
	 * Records that a chain was refused because of one of its engines.
	 * @param service the service
	 * @param engines the chain's engines as they were registered when it was chosen
	 * @param faultyAddress address of the engine that the response names
	 * @param status status of the response
	 */
	void recordRefusedChain(RoutedService service, List<ServiceInstance> engines, Optional<String> faultyAddress,
			int status) {
		if (service.hasScarceZoneLinks() && faultyAddress.isPresent()) {
			engines.stream()
				.filter((engine) -> engine.address().equals(faultyAddress.get()))
				.findFirst()
				.ifPresent((engine) -> this.dependencies.permits().recordRefusedChain(engine, this.requestId, status));
		}
	}

	private static Optional<List<ChainHop>> find(PoolSnapshot snapshot, ChainRequest request, boolean resumes) {
		ChainSearch search = new ChainSearch(snapshot);
		return (resumes) ? search.find(request, StreamLimits.RESUME_MAX_UTILISATION) : search.find(request);
	}

	/**
	 * Returns whether a chain with ample free capacity exists.
	 * @param service the service
	 * @param request requirements of the chain
	 * @param excluded identifiers of engines that must not be used
	 * @return {@code true} if a chain's cache utilisation stays well below the limit
	 */
	boolean hasSpareCapacity(RoutedService service, ChainRequest request, Set<String> excluded) {
		PoolSnapshot snapshot = snapshot(service, excluded);
		double maxUtilisation = StreamLimits.SLOW_FAILOVER_MAX_UTILISATION;
		if (service.hasScarceZoneLinks()) {
			return linkLimitedSearch(snapshot, this.dependencies.zoneLinks().budget(service), this.dependencies.nowMs())
				.find(request, maxUtilisation, false)
				.chain()
				.isPresent();
		}
		return new ChainSearch(snapshot).find(request, maxUtilisation).isPresent();
	}

	/**
	 * Returns whether chains can still begin elsewhere if the first engine of a chain
	 * ends. A pool with a single first engine has nothing to spare.
	 * @param service the service
	 * @return {@code false} if all first engines but one are suspect or have crashed
	 */
	boolean hasSpareFirstEngine(RoutedService service) {
		GatewayState state = this.dependencies.state();
		String zone = this.dependencies.settings().availabilityZone();
		List<PoolServer> first = state.fleet()
			.poolServers(service)
			.stream()
			.filter((server) -> server.layers().fromLayer() == 0)
			.toList();
		long usable = first.stream()
			.filter((server) -> !state.isSuspect(zone, server.id(), server.availabilityZone()) && !hasCrashed(server))
			.count();
		return usable > 1 || first.size() <= 1;
	}

	private boolean hasCrashed(PoolServer server) {
		return this.dependencies.state()
			.fleet()
			.instance(server.id())
			.map(ServerStart::of)
			.filter(this.dependencies.quarantine()::hasCrashed)
			.isPresent();
	}

	/**
	 * Returns the engines with which chains begin.
	 * @param service the service
	 * @return identifiers of the engines that hold the first layer
	 */
	List<String> firstEngines(RoutedService service) {
		return this.dependencies.state()
			.fleet()
			.poolServers(service)
			.stream()
			.filter((server) -> server.layers().fromLayer() == 0)
			.map(PoolServer::id)
			.toList();
	}

	/**
	 * Chooses a random availability zone for a stream that fails over to another chain.
	 * @param service the service
	 * @param excluded identifiers of engines that must not be used
	 * @return a zone with engines that are not excluded, the zone of this host if there
	 * is none
	 */
	String chooseRandomZone(RoutedService service, Set<String> excluded) {
		return ChainZones.randomFailoverZone(this.dependencies.state().fleet().poolServers(service), excluded,
				this.dependencies.settings().availabilityZone(), this.dependencies.random());
	}

	private PoolSnapshot snapshot(RoutedService service, Set<String> excluded) {
		GatewayState state = this.dependencies.state();
		List<PoolServer> servers = state.fleet()
			.poolServers(service)
			.stream()
			.filter((server) -> !excluded.contains(server.id()) && this.dependencies.permits().mayBePart(server.id()))
			.toList();
		return new PoolSnapshot(service.pool().orElseThrow(), servers,
				this.dependencies.loads().total(this.dependencies.nowMs()),
				(zone, server) -> state.isSuspect(zone, server.id(), server.availabilityZone()),
				(server) -> !this.dependencies.permits().mayReceive(server.id()));
	}

	/**
	 * A chain whose capacity is reserved until the reservation is closed.
	 *
	 * @param hops the engines
	 * @param cacheUtilisation largest KV cache utilisation of the engines, including this
	 * request
	 * @param firstEngineRequests requests of all hosts whose chain begins at the same
	 * engine, including this request
	 * @param reservation the reservation
	 */
	record ReservedChain(List<ChainHop> hops, double cacheUtilisation, int firstEngineRequests,
			Reservation reservation) {

		List<String> engineIds() {
			return this.hops.stream().map((hop) -> hop.server().id()).toList();
		}

		String describe() {
			StringBuilder text = new StringBuilder();
			for (ChainHop hop : this.hops) {
				if (!text.isEmpty()) {
					text.append(',');
				}
				text.append(hop.server().address())
					.append('/')
					.append(hop.layers().fromLayer())
					.append('-')
					.append(hop.layers().toLayer());
			}
			return text.toString();
		}

	}

}
