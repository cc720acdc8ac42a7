package org.medlardrum.state.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Order of the requests of a service by urgency. The rank of the organisation that holds
 * the caller's key takes precedence over the rank of the route; among requests of the
 * same rank, those of the route with the more urgent rank come first. Without the second
 * criterion, a configuration that gives all organisations the same rank would make all
 * routes equal.
 *
 * <pre>
 * int position = RankOrder.of("model", routes, holders).position(request.rank(), route.rank());
 * </pre>
 */
public final class RankOrder {

	private static final Comparator<Pair> ORDER = Comparator.comparingInt(Pair::rank).thenComparingInt(Pair::routeRank);

	private final List<Pair> pairs;

	private RankOrder(Collection<Pair> pairs) {
		this.pairs = List.copyOf(pairs);
	}

	/**
	 * Creates the order of a service's requests.
	 * @param service name of the service
	 * @param routes all routes
	 * @param holders the holders of API keys
	 * @return the order
	 */
	public static RankOrder of(String service, Collection<ServiceRoute> routes, Collection<KeyHolder> holders) {
		List<Integer> holderRanks = holders.stream().map(KeyHolder::rank).distinct().toList();
		if (holderRanks.stream().allMatch((rank) -> rank < 0)) {
			return new RankOrder(List.of());
		}
		TreeSet<Pair> pairs = new TreeSet<>(ORDER);
		for (ServiceRoute route : routes) {
			if (route.shares().stream().noneMatch((share) -> share.service().equals(service))) {
				continue;
			}
			// A holder with a negative rank has none of its own.
			if (route.open() || holderRanks.stream().anyMatch((rank) -> rank < 0)) {
				pairs.add(new Pair(route.rank(), route.rank()));
			}
			holderRanks.stream().filter((rank) -> rank >= 0).forEach((rank) -> pairs.add(new Pair(rank, route.rank())));
		}
		return new RankOrder(pairs);
	}

	/**
	 * Returns the position of a request in the order.
	 * @param rank rank of the request
	 * @param routeRank rank of its route
	 * @return number of combinations of ranks that are more urgent, 0 for the most
	 * urgent; the rank of the request if no organisation has a rank of its own
	 */
	public int position(int rank, int routeRank) {
		if (this.pairs.isEmpty()) {
			return rank;
		}
		Pair pair = new Pair(rank, routeRank);
		return (int) this.pairs.stream().filter((other) -> ORDER.compare(other, pair) < 0).count();
	}

	private record Pair(int rank, int routeRank) {
	}

}
