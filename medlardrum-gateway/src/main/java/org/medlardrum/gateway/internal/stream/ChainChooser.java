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
import org.medlardrum.gateway.CallerAttributes;
import org.medlardrum.gateway.internal.load.Reservation;
import org.medlardrum.gateway.internal.load.ServerLimits;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.gateway.internal.request.RequestDependencies;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.state.routing.ModelPool;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.ServerStart;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Chooses engine chains from the servers, loads and suspicions recorded at this host.
 */
final class ChainChooser implements StreamServers {

	private final RequestDependencies dependencies;

	private final RoutedService service;

	private final ModelPool pool;

	private final ChainRequest requirements;

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
	 * @param request the request to a service with a pool
	 * @param mayHaveRun whether an engine may have run the request
	 */
	ChainChooser(RequestDependencies dependencies, GatewayRequest request, BooleanSupplier mayHaveRun) {
		this.dependencies = dependencies;
		this.service = request.service();
		this.pool = request.service().pool().orElseThrow();
		this.requirements = requirements(request.attributes(), request.rank());
		this.requestId = request.id();
		this.organisation = request.organisationName();
		this.routeRank = request.route().rank();
		this.mayHaveRun = mayHaveRun;
	}

	private ChainRequest requirements(CallerAttributes attributes, int rank) {
		int generatedTokens = this.pool.meanGeneratedTokens();
		if (attributes.estimatedGeneratedTokens() > 0) {
			generatedTokens = attributes.estimatedGeneratedTokens();
		}
		if (attributes.maxGeneratedTokens() > 0) {
			generatedTokens = Math.min(generatedTokens, attributes.maxGeneratedTokens());
		}
		int promptTokens = (attributes.promptTokens() > 0) ? attributes.promptTokens() : this.pool.meanPromptTokens();
		return new ChainRequest(promptTokens, Math.max(1, generatedTokens), rank,
				this.dependencies.settings().availabilityZone());
	}

	// In tokens times layers.
	@Override
	public double work() {
		return (double) this.requirements.tokensAtEnd() * this.pool.layers();
	}

	@Override
	public long estimatedDurationMs() {
		return (long) (this.requirements.promptTokens() / this.pool.prefillTokensPerMs()
				+ this.requirements.generatedTokens() * this.pool.stepMs());
	}

	@Override
	public Optional<ReservedTarget> choose(Set<String> excluded, boolean resumes) {
		return choose(this.requirements, excluded, resumes);
	}

	private Optional<ReservedTarget> choose(ChainRequest request, Set<String> excluded, boolean resumes) {
		PoolSnapshot snapshot = snapshot(excluded);
		Optional<List<ChainHop>> chain = (this.service.hasScarceZoneLinks())
				? findWithinLinks(snapshot, request, resumes) : findWithinLimits(snapshot, request, resumes);
		return chain.map((hops) -> {
			double cacheUtilisation = hops.stream()
				.mapToDouble((hop) -> snapshot.utilisation(hop.server(),
						(long) request.tokensAtEnd() * hop.layers().length()))
				.max()
				.orElse(0);
			Reservation reservation = this.dependencies.loads().reserve(hops, request.tokensAtEnd());
			PoolServer first = hops.getFirst().server();
			return new ReservedTarget(new StreamTarget.EngineChain(hops), cacheUtilisation,
					snapshot.load(first).headSequences() + 1, first.slots(), reservation);
		});
	}

	// Random zones spread the streams of a slow engine over the others.
	@Override
	public Optional<ReservedTarget> chooseSpare(Set<String> excluded, boolean resumes) {
		ChainRequest request = this.requirements
			.preferring(ChainZones.randomFailoverZone(this.dependencies.state().fleet().poolServers(this.service),
					excluded, this.dependencies.settings().availabilityZone(), this.dependencies.random()));
		return (hasSpareCapacity(request, excluded)) ? choose(request, excluded, resumes) : Optional.empty();
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
	private Optional<List<ChainHop>> findWithinLinks(PoolSnapshot snapshot, ChainRequest request, boolean resumes) {
		ServerLimits limits = this.dependencies.limits();
		ZoneLinkBudget budget = this.dependencies.zoneLinks().budget(this.service);
		long nowMs = this.dependencies.nowMs();
		double maxUtilisation = (resumes) ? StreamLimits.RESUME_MAX_UTILISATION : maxUtilisation(request);
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
	private double maxUtilisation(ChainRequest request) {
		if (this.mayHaveRun.getAsBoolean()) {
			return ChainSearch.maxUtilisation(request.rank());
		}
		OptionalDouble reserved = this.dependencies.admissions()
			.reservedShare(this.service, request.rank(), this.routeRank, this.organisation);
		return (reserved.isPresent()) ? ChainSearch.maxUtilisation(0) - reserved.getAsDouble()
				: ChainSearch.maxUtilisation(request.rank());
	}

	@Override
	public boolean existWithoutLoad(Set<String> excluded) {
		PoolSnapshot snapshot = snapshot(excluded);
		return new ChainSearch(new PoolSnapshot(snapshot.pool(), snapshot.servers(), Map.of(), snapshot.excluded(),
				snapshot.excludedAsFirst()))
			.find(this.requirements, 1)
			.isPresent();
	}

	// An engine without free KV cache would preempt another stream.
	@Override
	public boolean allowQueueing() {
		return false;
	}

	@Override
	public String shortageDetail() {
		return "no chain has room";
	}

	@Override
	public void logShortage(Set<String> excluded) {
		ChainShortage shortage = ChainShortage.of(snapshot(excluded), this.requirements,
				maxUtilisation(this.requirements));
		this.dependencies.metrics().countChainShortage(shortage.limit().label());
		this.dependencies.log()
			.event("stream", "shortage", "id", this.requestId, "limit", shortage.limit().label(), "rank",
					this.requirements.rank(), "firstEngineRequests", shortage.firstEngineRequests(), "firstEngineSlots",
					shortage.firstEngineSlots());
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

	@Override
	public void release(ReservedTarget chosen) {
		giveBackTokens(chosen.target().hops());
		chosen.reservation().close();
	}

	// Returns what a chain took from the budgets of the links when it has not been
	// executed.
	private void giveBackTokens(List<ChainHop> chain) {
		if (this.service.hasScarceZoneLinks()) {
			this.dependencies.zoneLinks()
				.budget(this.service)
				.giveBack(chain, this.requirements.tokensAtEnd(), this.dependencies.nowMs());
			this.overdrawnFor = (this.overdrawnFor == chain) ? null : this.overdrawnFor;
		}
	}

	@Override
	public void recordRefusal(StreamTarget target, List<ServiceInstance> engines, Optional<String> faultyAddress,
			int status) {
		giveBackTokens(target.hops());
		if (this.service.hasScarceZoneLinks() && faultyAddress.isPresent()) {
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

	private boolean hasSpareCapacity(ChainRequest request, Set<String> excluded) {
		PoolSnapshot snapshot = snapshot(excluded);
		double maxUtilisation = StreamLimits.SLOW_FAILOVER_MAX_UTILISATION;
		if (this.service.hasScarceZoneLinks()) {
			return linkLimitedSearch(snapshot, this.dependencies.zoneLinks().budget(this.service),
					this.dependencies.nowMs())
				.find(request, maxUtilisation, false)
				.chain()
				.isPresent();
		}
		return new ChainSearch(snapshot).find(request, maxUtilisation).isPresent();
	}

	// A pool with a single first engine has nothing to spare.
	@Override
	public boolean hasSpareReceiver() {
		GatewayState state = this.dependencies.state();
		String zone = this.dependencies.settings().availabilityZone();
		List<PoolServer> first = firstEngines();
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

	@Override
	public List<String> receivers() {
		return firstEngines().stream().map(PoolServer::id).toList();
	}

	// The engines that hold the first layer.
	private List<PoolServer> firstEngines() {
		return this.dependencies.state()
			.fleet()
			.poolServers(this.service)
			.stream()
			.filter((server) -> server.layers().fromLayer() == 0)
			.toList();
	}

	private PoolSnapshot snapshot(Set<String> excluded) {
		GatewayState state = this.dependencies.state();
		List<PoolServer> servers = state.fleet()
			.poolServers(this.service)
			.stream()
			.filter((server) -> !excluded.contains(server.id()) && this.dependencies.permits().mayBePart(server.id()))
			.toList();
		return new PoolSnapshot(this.pool, servers, this.dependencies.loads().total(this.dependencies.nowMs()),
				(zone, server) -> state.isSuspect(zone, server.id(), server.availabilityZone()),
				(server) -> !this.dependencies.permits().mayReceive(server.id()));
	}

}
