package org.medlardrum.decisions.pool;

/**
 * What a chain is needed for.
 *
 * @param promptTokens tokens to read, with those already written when a stream resumes
 * @param answerTokens tokens expected to be written
 * @param rank rank of the request, 0 first
 * @param availabilityZone availability zone of the entry host
 */
public record ChainRequest(int promptTokens, int answerTokens, int rank, String availabilityZone) {

	/**
	 * Returns the KV cache that the request needs on each layer when it ends.
	 * @return tokens for each layer
	 */
	public int tokensAtEnd() {
		return this.promptTokens + this.answerTokens;
	}

}
