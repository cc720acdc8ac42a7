package org.medlardrum.gateway.internal.stream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.decisions.pool.ChainRequest;
import org.medlardrum.decisions.pool.ChainSearch;
import org.medlardrum.decisions.pool.ChainZones;
import org.medlardrum.decisions.pool.PoolServer;
import org.medlardrum.decisions.pool.PoolSnapshot;
import org.medlardrum.decisions.pool.StreamLimits;
import org.medlardrum.gateway.internal.load.Reservation;
import org.medlardrum.gateway.internal.request.RequestServices;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.state.routing.RoutedService;

/**
 * Chooses engine chains from what this host knows now.
 */
final class ChainChooser {

	private final RequestServices services;

	ChainChooser(RequestServices services) {
		this.services = services;
	}

	/**
	 * Chooses a chain and reserves it.
	 * @param service the service
	 * @param request what the chain is needed for
	 * @param excluded identifiers of engines that must not be used
	 * @param resumes whether the stream has begun
	 * @return the chain, empty when none has room
	 */
	Optional<ReservedChain> choose(RoutedService service, ChainRequest request, Set<String> excluded, boolean resumes) {
		PoolSnapshot snapshot = snapshot(service, excluded);
		ChainSearch search = new ChainSearch(snapshot);
		Optional<List<ChainHop>> chain = (resumes) ? search.find(request, StreamLimits.RESUME_MAX_UTILISATION)
				: search.find(request);
		return chain.map((hops) -> {
			double fill = hops.stream()
				.mapToDouble((hop) -> snapshot.utilisation(hop.server(),
						(long) request.tokensAtEnd() * hop.layers().length()))
				.max()
				.orElse(0);
			Reservation reservation = this.services.loads().reserve(hops, request.tokensAtEnd());
			return new ReservedChain(hops, fill, reservation);
		});
	}

	/**
	 * Returns whether a chain with much room exists.
	 * @param service the service
	 * @param request what the chain is needed for
	 * @param excluded identifiers of engines that must not be used
	 * @return {@code true} if a chain stays well below full
	 */
	boolean hasMuchRoom(RoutedService service, ChainRequest request, Set<String> excluded) {
		return new ChainSearch(snapshot(service, excluded)).find(request, StreamLimits.SLOW_FAILOVER_MAX_UTILISATION)
			.isPresent();
	}

	/**
	 * Draws an availability zone for a stream that leaves its chain.
	 * @param service the service
	 * @param excluded identifiers of engines that must not be used
	 * @return a zone that has engines left, that of this host if none has
	 */
	String drawZone(RoutedService service, Set<String> excluded) {
		return ChainZones.randomFailoverZone(this.services.state().fleet().poolServers(service), excluded,
				this.services.settings().availabilityZone(), this.services.random());
	}

	private PoolSnapshot snapshot(RoutedService service, Set<String> excluded) {
		GatewayState state = this.services.state();
		List<PoolServer> servers = state.fleet()
			.poolServers(service)
			.stream()
			.filter((server) -> !excluded.contains(server.id()))
			.toList();
		Map<String, Boolean> suspects = new HashMap<>();
		return new PoolSnapshot(service.pool().orElseThrow(), servers,
				this.services.loads().total(this.services.nowMs()),
				(zone, server) -> suspects.computeIfAbsent(zone + '|' + server.id(),
						(key) -> state.isSuspect(zone, server.id(), server.availabilityZone())));
	}

	/**
	 * A chain that is reserved until it is closed.
	 *
	 * @param hops the engines
	 * @param fill largest part of an engine's KV cache in use with this request
	 * @param reservation the reservation
	 */
	record ReservedChain(List<ChainHop> hops, double fill, Reservation reservation) {

		List<String> ids() {
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
