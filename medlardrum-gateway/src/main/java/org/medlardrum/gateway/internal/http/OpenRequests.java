package org.medlardrum.gateway.internal.http;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Requests in progress: those that have not been decided, and those whose response has
 * not been written to the caller's connection completely.
 */
final class OpenRequests {

	/** Limit of requests in a description. */
	private static final int MAX_DESCRIBED = 16;

	private final Set<OpenRequest> requests = ConcurrentHashMap.newKeySet();

	/**
	 * Adds a request.
	 * @param arrivedAtMs time of its arrival on the monotonic clock
	 * @return the request, to be removed by its end
	 */
	OpenRequest begin(long arrivedAtMs) {
		OpenRequest request = new OpenRequest(arrivedAtMs, this.requests::remove);
		this.requests.add(request);
		return request;
	}

	/**
	 * Returns the number of requests.
	 * @return the number
	 */
	int size() {
		return this.requests.size();
	}

	/**
	 * Ends all requests that have not been decided.
	 */
	void stopAll() {
		List.copyOf(this.requests).forEach(OpenRequest::stop);
	}

	/**
	 * Describes the requests for the log.
	 * @param nowMs current time on the monotonic clock
	 * @return identifier, state and age of the oldest requests
	 */
	String describe(long nowMs) {
		List<String> oldest = this.requests.stream()
			.sorted(Comparator.comparingLong(OpenRequest::arrivedAtMs))
			.limit(MAX_DESCRIBED)
			.map((request) -> request.describe(nowMs))
			.toList();
		return String.join(",", oldest);
	}

}
