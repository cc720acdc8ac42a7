package org.medlardrum.decisions.pool;

/**
 * What a chain is needed for.
 *
 * @param promptTokens tokens to read, with those already written when a stream resumes
 * @param generatedTokens tokens expected to be written
 * @param rank rank of the request, 0 first
 * @param availabilityZone availability zone of the entry host
 * @param preferredZone availability zone whose chains are preferred
 */
public record ChainRequest(int promptTokens, int generatedTokens, int rank, String availabilityZone,
		String preferredZone) {

	/**
	 * Creates a request that prefers chains of the entry host's availability zone.
	 * @param promptTokens tokens to read
	 * @param generatedTokens tokens expected to be written
	 * @param rank rank of the request, 0 first
	 * @param availabilityZone availability zone of the entry host
	 */
	public ChainRequest(int promptTokens, int answerTokens, int rank, String availabilityZone) {
		this(promptTokens, answerTokens, rank, availabilityZone, availabilityZone);
	}

	/**
	 * Returns the request with other preferred chains.
	 * @param zone availability zone whose chains are preferred
	 * @return the request
	 */
	public ChainRequest preferring(String zone) {
		return new ChainRequest(this.promptTokens, this.generatedTokens, this.rank, this.availabilityZone, zone);
	}

	/**
	 * Returns the KV cache that the request needs on each layer when it ends.
	 * @return tokens for each layer
	 */
	public int tokensAtEnd() {
		return this.promptTokens + this.generatedTokens;
	}

}
