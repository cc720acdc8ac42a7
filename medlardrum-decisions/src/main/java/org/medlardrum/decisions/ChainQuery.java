package org.medlardrum.decisions;

import java.util.Set;

import org.medlardrum.state.Rank;

/**
 * Properties of a request that determine its chain.
 *
 * @param request identifier of the request
 * @param model name of the model
 * @param version model version that engines must hold, empty for any
 * @param adapter name of the adapter, empty for none
 * @param layerCount number of layers of the model
 * @param rank rank of the request
 * @param promptTokens tokens of the prompt
 * @param maxTokens largest number of tokens to generate
 * @param promptPrefixHash hash of the prompt's prefix, to look it up in the
 * {@link PrefixIndex}; empty when unknown, so that prompt caches are ignored
 * @param fingerprint fingerprint of the request, equal for copies of the same request
 * @param suspect whether the request is suspected of crashing engines
 * @param excludedServers identifiers of engines that must not be used, for example those
 * that failed an earlier attempt
 */
public record ChainQuery(String request, String model, String version, String adapter, int layerCount, Rank rank,
		int promptTokens, int maxTokens, String promptPrefixHash, String fingerprint, boolean suspect,
		Set<String> excludedServers) {

	public ChainQuery {
		if (layerCount <= 0) {
			throw new IllegalArgumentException(
					"Model " + model + " has layer count " + layerCount + "; it must be positive");
		}
		version = (version != null) ? version : "";
		adapter = (adapter != null) ? adapter : "";
		promptPrefixHash = (promptPrefixHash != null) ? promptPrefixHash : "";
		excludedServers = Set.copyOf(excludedServers);
	}

}
