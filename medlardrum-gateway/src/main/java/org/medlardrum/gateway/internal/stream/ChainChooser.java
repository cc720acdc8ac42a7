package org.medlardrum.gateway.internal.stream;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.decisions.pool.ChainRequest;
import org.medlardrum.decisions.pool.ChainSearch;
import org.medlardrum.decisions.pool.ChainZones;
import org.medlardrum.decisions.pool.PoolServer;
import org.medlardrum.decisions.pool.PoolSnapshot;
import org.medlardrum.decisions.pool.StreamLimits;
import org.medlardrum.gateway.internal.load.Reservation;
import org.medlardrum.gateway.internal.load.ServerLimits;
import org.medlardrum.gateway.internal.request.RequestDependencies;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.ServerStart;

/**
 * Chooses engine chains from the servers, loads and suspicions recorded at this host.
 */
final class ChainChooser {

	/**
	 * Largest fraction of an engine's KV cache that the most urgent rank may reserve, the
	 * same as in a search whose limit depends on the rank only.
	 */
	private static final double MAX_UTILISATION = 0.92;

	private final RequestDependencies dependencies;

	private final String requestId;

	ChainChooser(RequestDependencies dependencies, String requestId) {
		this.dependencies = dependencies;
		this.requestId = requestId;
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
		return findWithinLimits(snapshot, request, maxUtilisation(service, request, resumes)).map((hops) -> {
			double cacheUtilisation = hops.stream()
				.mapToDouble((hop) -> snapshot.utilisation(hop.server(),
						(long) request.tokensAtEnd() * hop.layers().length()))
				.max()
				.orElse(0);
			Reservation reservation = this.dependencies.loads().reserve(hops, request.tokensAtEnd());
			return new ReservedChain(hops, cacheUtilisation, reservation);
		});
	}

	// Only the first engine of a chain receives the request, so only its limit counts.
	private Optional<List<ChainHop>> findWithinLimits(PoolSnapshot snapshot, ChainRequest request,
			OptionalDouble maxUtilisation) {
		ServerLimits limits = this.dependencies.limits();
		Optional<List<ChainHop>> preferred = find(snapshot, request, maxUtilisation);
		Optional<String> first = preferred.map((hops) -> hops.getFirst().server().id());
		first.ifPresent(limits::recordDemand);
		if (first.isEmpty() || limits.isAllowed(first.get())) {
			return preferred;
		}
		Optional<List<ChainHop>> other = find(
				snapshot.withExcludedAsFirst(snapshot.excludedAsFirst().or((server) -> !limits.isAllowed(server.id()))),
				request, maxUtilisation);
		limits.logMove(this.requestId, first.get(), other.map((hops) -> hops.getFirst().server().id()));
		return other;
	}

	private static Optional<List<ChainHop>> find(PoolSnapshot snapshot, ChainRequest request,
			OptionalDouble maxUtilisation) {
		ChainSearch search = new ChainSearch(snapshot);
		return (maxUtilisation.isPresent()) ? search.find(request, maxUtilisation.getAsDouble()) : search.find(request);
	}

	// Empty for the limit that depends on the rank only.
	private OptionalDouble maxUtilisation(RoutedService service, ChainRequest request, boolean resumes) {
		if (resumes) {
			return OptionalDouble.of(StreamLimits.RESUME_MAX_UTILISATION);
		}
		OptionalDouble reserved = this.dependencies.admissions().reservedShare(service, request.rank());
		return (reserved.isPresent()) ? OptionalDouble.of(MAX_UTILISATION - reserved.getAsDouble())
				: OptionalDouble.empty();
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
	 * Returns whether a chain with ample free capacity exists.
	 * @param service the service
	 * @param request requirements of the chain
	 * @param excluded identifiers of engines that must not be used
	 * @return {@code true} if a chain's cache utilisation stays well below the limit
	 */
	boolean hasSpareCapacity(RoutedService service, ChainRequest request, Set<String> excluded) {
		return new ChainSearch(snapshot(service, excluded)).find(request, StreamLimits.SLOW_FAILOVER_MAX_UTILISATION)
			.isPresent();
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
	 * @param reservation the reservation
	 */
	record ReservedChain(List<ChainHop> hops, double cacheUtilisation, Reservation reservation) {

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
