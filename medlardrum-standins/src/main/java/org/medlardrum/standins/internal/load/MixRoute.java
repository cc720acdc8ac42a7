package org.medlardrum.standins.internal.load;

import org.medlardrum.state.Rank;

/**
 * One kind of request in a mix file. The text {@code {n}} in the prompt, path or body is
 * replaced by the number of the request.
 *
 * @param route name of the route, sent as {@code model}; for service calls a label
 * @param rank rank of the route, for the report
 * @param organisation name of the organisation, for the report
 * @param key key of the organisation
 * @param weight share of the arrivals, relative to the other routes
 * @param targetMs time from the intended start to the first token of a streamed answer,
 * otherwise to the whole response
 * @param betweenTokensTargetMs largest mean time between tokens, 0 for no target
 * @param timeoutMs time after which the caller gives up, default 60000
 * @param prompt prompt of a model request, {@code null} for a service call
 * @param maxTokens largest number of tokens
 * @param stream whether the answer is streamed
 * @param model model that the route leads to
 * @param adapter adapter of the route, empty for none
 * @param layers number of layers of the model
 * @param method method of a service call
 * @param path path of a service call
 * @param body body of a service call, default a JSON object with the call's identifier
 * @param idempotent whether the caller may repeat a service call without a key
 * @param withKey whether a service call carries an idempotency key
 */
public record MixRoute(String route, Rank rank, String organisation, String key, double weight, long targetMs,
		long betweenTokensTargetMs, long timeoutMs, String prompt, int maxTokens, boolean stream, String model,
		String adapter, int layers, String method, String path, String body, boolean idempotent, boolean withKey) {

	/** Default of the time after which the caller gives up, in milliseconds. */
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

	// A call without a key must not be repeated unless it is idempotent.
	boolean mayRetry() {
		return isModel() || this.idempotent || this.withKey;
	}

}
