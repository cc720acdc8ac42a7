package org.medlardrum.decisions;

/**
 * Tells which engines have a prompt prefix in their cache. Engines publish cache events
 * late and with gaps, so answers are estimates.
 */
@FunctionalInterface
public interface PrefixIndex {

	/** Index for fleets whose engines publish no cache events. */
	PrefixIndex NONE = (server, promptPrefixHash) -> 0;

	/**
	 * Returns how many tokens of a prompt the engine has cached.
	 * @param server id of the engine
	 * @param promptPrefixHash hash of the prompt's prefix
	 * @return the number of tokens, 0 when none or unknown
	 */
	int cachedTokens(String server, String promptPrefixHash);

}
