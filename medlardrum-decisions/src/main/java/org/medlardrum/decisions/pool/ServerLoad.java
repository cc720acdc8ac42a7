package org.medlardrum.decisions.pool;

/**
 * Work of all entry hosts at an engine.
 *
 * @param tokenLayers KV cache reserved, in tokens times layers
 * @param sequences requests whose chain includes the engine
 * @param headSequences requests whose chain begins at the engine
 */
public record ServerLoad(long tokenLayers, int sequences, int headSequences) {

	/** No work. */
	public static final ServerLoad NONE = new ServerLoad(0, 0, 0);

	/**
	 * Adds other work.
	 * @param other the other work
	 * @return the sum
	 */
	public ServerLoad plus(ServerLoad other) {
		return new ServerLoad(this.tokenLayers + other.tokenLayers, this.sequences + other.sequences,
				this.headSequences + other.headSequences);
	}

}
