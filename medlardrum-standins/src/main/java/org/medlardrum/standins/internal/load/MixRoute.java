package org.medlardrum.standins.internal.load;

import org.medlardrum.state.Rank;

/**
 * One kind of request in a mix file. The text {@code {n}} in the prompt, path or body is
 * replaced by the number of the request.
 *
 * @param route name of the route, sent as {@code model}; for service calls a label
 * @param rank rank of the route, for the report
 * @param organisation name of the organisation, for the report
 * @param key API key of the organisation
 * @param weight fraction of the arrivals, relative to the weights of the other routes
 * @param targetMs target for the time from the scheduled start to the first token of a
 * streamed completion, otherwise to the complete response; 0 for no target
 * @param betweenTokensTargetMs target for the mean time between tokens, 0 for no target
 * @param timeoutMs time after which the request is abandoned, default 60000
 * @param prompt prompt of a model request, {@code null} for a service call
 * @param maxTokens maximum number of generated tokens
 * @param stream whether the completion is streamed
 * @param model model behind the route
 * @param adapter adapter of the route, empty for none
 * @param layers number of layers of the model
 * @param method method of a service call
 * @param path path of a service call
 * @param body body of a service call, default a JSON object with the call's identifier
 * @param idempotent whether a service call may be retried without an idempotency key
 * @param withKey whether a service call carries an idempotency key
 */
public record MixRoute(String route, Rank rank, String organisation, String key, double weight, long targetMs,
		long betweenTokensTargetMs, long timeoutMs, String prompt, int maxTokens, boolean stream, String model,
		String adapter, int layers, String method, String path, String body, boolean idempotent, boolean withKey) {

	/** Default time after which a request is abandoned. */
	private static final long DEFAULT_TIMEOUT_MS = 60_000;

	public MixRoute {
		if (rank == null || organisation == null || key == null || weight <= 0) {
			throw new IllegalArgumentException(
					"Route \"" + route + "\" needs rank, organisation, key and a weight above 0");
		}
		if (prompt == null && (method == null || path == null)) {
			throw new IllegalArgumentException("Route \"" + route + "\" needs a prompt, or a method and a path");
		}
		if (prompt != null && (maxTokens <= 0 || layers <= 0 || model == null)) {
			throw new IllegalArgumentException("Route \"" + route + "\" needs maxTokens, layers and model");
		}
		timeoutMs = (timeoutMs > 0) ? timeoutMs : DEFAULT_TIMEOUT_MS;
		adapter = (adapter != null) ? adapter : "";
		body = (body != null) ? body : "{}";
	}

	boolean isModel() {
		return this.prompt != null;
	}

	// A service call without an idempotency key must not be retried unless it is
	// idempotent.
	boolean mayRetry() {
		return isModel() || this.idempotent || this.withKey;
	}

}
