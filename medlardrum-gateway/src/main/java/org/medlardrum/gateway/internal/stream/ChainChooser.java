package org.medlardrum.gateway.internal.stream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.decisions.pool.ChainRequest;
import org.medlardrum.decisions.pool.ChainSearch;
import org.medlardrum.decisions.pool.PoolServer;
import org.medlardrum.decisions.pool.PoolSnapshot;
import org.medlardrum.gateway.internal.load.Reservation;
import org.medlardrum.gateway.internal.request.RequestServices;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.state.routing.RoutedService;

/**
 * Chooses engine chains from what this host knows now.
 */
final class ChainChooser {

	/** Fill up to which a stream that has begun may take an engine's KV cache. */
	private static final double RESUME_FILL = 0.97;

	/**
	 * Fill up to which a chain takes streams that may only be slow where they are; above
	 * it their move would slow down others.
	 */
	private static final double SPARE_FILL = 0.7;

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
		Optional<List<ChainHop>> chain = (resumes) ? search.find(request, RESUME_FILL) : search.find(request);
		return chain.map((hops) -> {
			double fill = hops.stream()
				.mapToDouble((hop) -> snapshot.fill(hop.server(), (long) request.tokensAtEnd() * hop.layers().length()))
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
		return new ChainSearch(snapshot(service, excluded)).find(request, SPARE_FILL).isPresent();
	}

	/**
	 * Draws an availability zone for a stream that leaves its chain. All streams of a
	 * broken chain move at the same moment; drawn zones spread them over what is left.
	 * @param service the service
	 * @param excluded identifiers of engines that must not be used
	 * @return a zone that has engines left, that of this host if none has
	 */
	String drawZone(RoutedService service, Set<String> excluded) {
		List<String> zones = this.services.state()
			.fleet()
			.poolServers(service)
			.stream()
			.filter((server) -> !excluded.contains(server.id()))
			.map(PoolServer::availabilityZone)
			.distinct()
			.sorted()
			.toList();
		return (zones.isEmpty()) ? this.services.settings().availabilityZone()
				: zones.get(this.services.random().nextInt(zones.size()));
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
