package org.medlardrum.state.routing;

import java.util.List;

/**
 * A route of the operator's configuration.
 *
 * @param name name of the route
 * @param host value of the request's {@code Host} header, without a port
 * @param prefix prefix of the path, which begins and ends with a slash
 * @param kind what may be repeated
 * @param shares services and their weights
 * @param timeoutMs longest time until the answer is complete
 * @param targetLatencyMs time within which an answer is on time
 * @param gapTargetMs longest pause between events of an answer that is on time
 * @param rank rank of the requests, 0 first
 * @param maxAttempts largest number of servers that may run one request
 * @param open whether requests need no API key
 * @param resumable whether a stream may go on at another server
 */
public record ServiceRoute(String name, String host, String prefix, TrafficKind kind, List<ServiceShare> shares,
		long timeoutMs, long targetLatencyMs, long gapTargetMs, int rank, int maxAttempts, boolean open,
		boolean resumable) {

	public ServiceRoute {
		shares = List.copyOf(shares);
		if (shares.isEmpty()) {
			throw new IllegalArgumentException("Route '" + name + "' leads to no service");
		}
		if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
			throw new IllegalArgumentException(
					"Prefix '" + prefix + "' of route '" + name + "' has no slash at an end");
		}
	}

	/**
	 * Returns whether a request of the route may run more than once.
	 * @return {@code true} if it is idempotent
	 */
	public boolean idempotent() {
		return switch (this.kind) {
			case SAFE -> true;
			case UNSAFE -> false;
			case STREAMING -> this.resumable;
		};
	}

	/**
	 * Chooses a service by weight.
	 * @param draw a random number from 0 to 1, exclusive
	 * @return the name of the service
	 */
	public String service(double draw) {
		double remaining = draw * this.shares.stream().mapToDouble(ServiceShare::weight).sum();
		for (ServiceShare share : this.shares) {
			remaining -= share.weight();
			if (remaining < 0) {
				return share.service();
			}
		}
		return this.shares.getLast().service();
	}

}
