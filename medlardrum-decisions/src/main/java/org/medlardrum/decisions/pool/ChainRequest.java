package org.medlardrum.decisions.pool;

/**
 * Parameters of a request for which a chain is searched.
 *
 * @param promptTokens tokens to prefill, including the tokens generated so far when a
 * stream resumes
 * @param generatedTokens expected number of generated tokens
 * @param rank rank of the request, 0 first
 * @param availabilityZone availability zone of the entry host
 * @param preferredZone availability zone whose chains are preferred
 */
public record ChainRequest(int promptTokens, int generatedTokens, int rank, String availabilityZone,
		String preferredZone) {

	/**
	 * Creates a request that prefers chains of the entry host's availability zone.
	 * @param promptTokens tokens to prefill
	 * @param generatedTokens expected number of generated tokens
	 * @param rank rank of the request, 0 first
	 * @param availabilityZone availability zone of the entry host
	 */
	public ChainRequest(int promptTokens, int generatedTokens, int rank, String availabilityZone) {
		this(promptTokens, generatedTokens, rank, availabilityZone, availabilityZone);
	}

	/**
	 * Returns a copy of this request that prefers the chains of another availability
	 * zone.
	 * @param zone availability zone whose chains are preferred
	 * @return the request
	 */
	public ChainRequest preferring(String zone) {
		return new ChainRequest(this.promptTokens, this.generatedTokens, this.rank, this.availabilityZone, zone);
	}

	/**
	 * Returns the KV cache that the request occupies on each layer when it completes.
	 * @return the number of tokens
	 */
	public int tokensAtEnd() {
		return this.promptTokens + this.generatedTokens;
	}

}
