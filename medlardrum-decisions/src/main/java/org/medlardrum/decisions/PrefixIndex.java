package org.medlardrum.decisions;

/**
 * Index of the prompt prefixes that engines have cached. Engines publish cache events
 * with delay and loss, so the results are estimates. The implementation determines which
 * prefix of a prompt is hashed, and how.
 */
@FunctionalInterface
public interface PrefixIndex {

	/** Index for fleets whose engines publish no cache events. */
	PrefixIndex NONE = (server, promptPrefixHash) -> 0;

	/**
	 * Returns how many tokens of a prompt the engine has cached.
	 * @param server identifier of the engine
	 * @param promptPrefixHash hash of the prompt's prefix
	 * @return the number of tokens, 0 when none are cached or nothing is recorded
	 */
	int cachedTokens(String server, String promptPrefixHash);

}
