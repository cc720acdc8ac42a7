package org.medlardrum.entry.internal.model;

import org.medlardrum.state.Rank;

/**
 * A model request that was identified and is ready for admission.
 *
 * @param requestId identifier of the request, unique over all entry hosts
 * @param organisation name of the organisation
 * @param route name of the route
 * @param model name of the model
 * @param version version that engines must hold, empty for any
 * @param adapter name of the adapter, empty for none
 * @param pool name of the pool
 * @param layerCount number of layers of the model
 * @param rank rank
 * @param prompt the prompt
 * @param maxTokens largest number of tokens
 * @param fingerprint fingerprint of the request
 * @param deadlineMs clock reading at which the timeout passes
 * @param betweenTokensTargetMs target of the rank for the time between tokens
 */
public record ModelJob(String requestId, String organisation, String route, String model, String version,
		String adapter, String pool, int layerCount, Rank rank, String prompt, int maxTokens, String fingerprint,
		long deadlineMs, long betweenTokensTargetMs) {

	/** Rough length of a token in English text, used to estimate the prompt's tokens. */
	private static final int CHARACTERS_PER_TOKEN = 4;

	/**
	 * Estimates the length of the prompt.
	 * @return the number of tokens
	 */
	public int promptTokens() {
		return 1 + this.prompt.length() / CHARACTERS_PER_TOKEN;
	}

	/**
	 * Returns the cost of the longest answer.
	 * @return tokens × layers
	 */
	public double maxCost() {
		return (double) this.maxTokens * this.layerCount;
	}

}
