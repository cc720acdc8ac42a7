package org.medlardrum.entry.internal.model;

import org.medlardrum.state.Rank;

/**
 * A validated model request, ready for admission.
 *
 * @param requestId identifier of the request, unique across all entry hosts
 * @param organisation name of the organisation
 * @param route name of the route
 * @param model name of the model
 * @param version model version that engines must have loaded, empty for any
 * @param adapter name of the adapter, empty for none
 * @param pool name of the pool
 * @param layerCount number of layers of the model
 * @param rank rank of the route
 * @param prompt the prompt
 * @param maxTokens largest number of tokens to generate
 * @param fingerprint fingerprint of the request, by which crash suspects are recognised
 * @param deadlineMs time at which the timeout of the route expires, in milliseconds since
 * the epoch
 * @param betweenTokensTargetMs target of the rank for the time between tokens
 */
public record ModelJob(String requestId, String organisation, String route, String model, String version,
		String adapter, String pool, int layerCount, Rank rank, String prompt, int maxTokens, String fingerprint,
		long deadlineMs, long betweenTokensTargetMs) {

	/** Approximate length of a token in English text. */
	private static final int CHARACTERS_PER_TOKEN = 4;

	/**
	 * Estimates the number of prompt tokens.
	 * @return the estimated number of tokens
	 */
	public int promptTokens() {
		return 1 + this.prompt.length() / CHARACTERS_PER_TOKEN;
	}

	/**
	 * Returns the cost of the longest possible completion.
	 * @return tokens × layers
	 */
	public double maxCost() {
		return (double) this.maxTokens * this.layerCount;
	}

}
