package org.medlardrum.decisions.pool;

/**
 * Outstanding load at a backend server, of one entry host or summed over several. A plain
 * service reserves no KV cache, and each of its requests counts as a chain of its own.
 *
 * @param tokenLayers KV cache reserved, in tokens times layers
 * @param sequences requests whose chain includes the server
 * @param headSequences requests whose chain begins at the server
 */
public record ServerLoad(long tokenLayers, int sequences, int headSequences) {

	/** No load. */
	public static final ServerLoad NONE = new ServerLoad(0, 0, 0);

	/**
	 * Adds another load.
	 * @param other the load to add
	 * @return the sum
	 */
	public ServerLoad plus(ServerLoad other) {
		return new ServerLoad(this.tokenLayers + other.tokenLayers, this.sequences + other.sequences,
				this.headSequences + other.headSequences);
	}

}
