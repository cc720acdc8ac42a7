package org.medlardrum.state.routing;

import java.util.List;

/**
 * A route of the operator's configuration.
 *
 * @param name name of the route
 * @param host value of the request's {@code Host} header, without a port
 * @param prefix prefix of the path, which begins and ends with a slash
 * @param kind whether its requests are idempotent, and whether responses are event
 * streams
 * @param shares services that receive the requests, with their weights
 * @param timeoutMs time within which the response must be complete, in milliseconds
 * @param targetLatencyMs target for the latency of the response, in milliseconds
 * @param gapTargetMs target for the gap between events of a stream, in milliseconds, 0
 * for none
 * @param rank rank of the requests, 0 first
 * @param maxAttempts largest number of servers that may run one request
 * @param open whether requests require no API key
 * @param resumable whether a stream may resume on another server
 */
public record ServiceRoute(String name, String host, String prefix, TrafficKind kind, List<ServiceShare> shares,
		long timeoutMs, long targetLatencyMs, long gapTargetMs, int rank, int maxAttempts, boolean open,
		boolean resumable) {

	public ServiceRoute {
		shares = List.copyOf(shares);
		if (shares.isEmpty()) {
			throw new IllegalArgumentException("Route '" + name + "' must have at least one service");
		}
		if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
			throw new IllegalArgumentException(
					"Prefix '" + prefix + "' of route '" + name + "' must begin and end with a slash");
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
	 * Returns whether responses are delivered event by event, whatever service sends
	 * them.
	 * @return {@code false} if each response is delivered once it is complete
	 */
	public boolean streams() {
		return this.kind == TrafficKind.STREAMING;
	}

	/**
	 * Chooses a service at random, in proportion to the weights.
	 * @param draw a random number from 0, inclusive, to 1, exclusive
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
