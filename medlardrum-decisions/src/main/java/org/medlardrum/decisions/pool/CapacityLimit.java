package org.medlardrum.decisions.pool;

/**
 * What limits the number of streams that engines run at the same time.
 */
public enum CapacityLimit {

	/** Layers that no usable engine holds. */
	LAYERS("layers"),

	/** Slots of the engines with which chains begin. */
	FIRST_ENGINES("first-engines"),

	/** KV cache of the layer with the least. */
	KV_CACHE("kv-cache");

	private final String label;

	CapacityLimit(String label) {
		this.label = label;
	}

	/**
	 * Returns the name for logs and metrics.
	 * @return the name
	 */
	public String label() {
		return this.label;
	}

}
