package org.medlardrum.state.routing;

import java.util.Map;

/**
 * Figures of a pool of model engines, from the operator's configuration.
 *
 * @param model name of the model
 * @param layers number of layers
 * @param layerMb memory of the weights of one layer, in megabytes
 * @param kvBytesPerToken memory of one token over all layers, in bytes
 * @param stepMs time of one decoding step of an empty batch over all layers
 * @param perSequenceMs additional time of a step for each sequence in its batch
 * @param contextMsPerKiloToken additional time of a step for each 1,000 tokens of context
 * @param prefillTokensPerMs prompt tokens read in one millisecond over all layers
 * @param loadMs time to load all layers
 * @param kinds kinds of accelerators by name
 * @param zoneDelayMs one-way delay between availability zones, by {@link #zonePairKey}
 * @param activationBytes bytes that a token sends from one engine of a chain to the next
 * @param zoneLinkMbps bandwidth between availability zones, shared by all, in megabits
 * per second, 0 for no limit
 * @param meanPromptTokens mean length of a prompt
 * @param meanGeneratedTokens mean length of an answer
 */
public record ModelPool(String model, int layers, double layerMb, double kvBytesPerToken, double stepMs,
		double perSequenceMs, double contextMsPerKiloToken, double prefillTokensPerMs, double loadMs,
		Map<String, AcceleratorKind> kinds, Map<String, Double> zoneDelayMs, double activationBytes,
		double zoneLinkMbps, int meanPromptTokens, int meanGeneratedTokens) {

	private static final double BYTES_PER_MB = 1_000_000;

	private static final double BITS_PER_BYTE = 8;

	private static final double BITS_PER_MS_AT_1_MBPS = 1_000;

	/** One-way delay assumed inside of an availability zone, from the users' sheet. */
	private static final double SAME_ZONE_DELAY_MS = 0.2;

	/** One-way delay assumed between zones that the configuration does not list. */
	private static final double UNKNOWN_ZONE_DELAY_MS = 1;

	public ModelPool {
		if (layers < 1 || !(layerMb > 0) || !(kvBytesPerToken > 0) || !(stepMs > 0) || !(prefillTokensPerMs > 0)) {
			throw new IllegalArgumentException("Pool of model '" + model + "' has a figure that is not positive");
		}
		kinds = Map.copyOf(kinds);
		zoneDelayMs = Map.copyOf(zoneDelayMs);
	}

	/**
	 * Returns the key of two availability zones in {@link #zoneDelayMs}, in any order.
	 * @param one an availability zone
	 * @param other an availability zone
	 * @return the key
	 */
	public static String zonePairKey(String one, String other) {
		return (one.compareTo(other) <= 0) ? one + '|' + other : other + '|' + one;
	}

	/**
	 * Returns the one-way delay between two availability zones.
	 * @param one an availability zone
	 * @param other an availability zone
	 * @return the delay, in milliseconds
	 */
	public double delayMs(String one, String other) {
		if (one.equals(other)) {
			return SAME_ZONE_DELAY_MS;
		}
		return this.zoneDelayMs.getOrDefault(zonePairKey(one, other), UNKNOWN_ZONE_DELAY_MS);
	}

	/**
	 * Returns the time for which tokens occupy the link between two availability zones.
	 * @param tokens number of tokens
	 * @param one an availability zone
	 * @param other an availability zone
	 * @return the time, in milliseconds, 0 within a zone
	 */
	public double transferMs(int tokens, String one, String other) {
		if (one.equals(other) || this.zoneLinkMbps <= 0) {
			return 0;
		}
		return tokens * this.activationBytes * BITS_PER_BYTE / (this.zoneLinkMbps * BITS_PER_MS_AT_1_MBPS);
	}

	/**
	 * Returns how many layers the memory of an accelerator holds.
	 * @param kind the accelerator
	 * @return the number of layers
	 */
	public int maxLayers(AcceleratorKind kind) {
		return Math.min(this.layers, (int) (kind.memoryMb() / this.layerMb));
	}

	/**
	 * Returns the KV cache beside the weights of some layers, in tokens times layers.
	 * @param kind the accelerator
	 * @param heldLayers number of layers held
	 * @return the capacity
	 */
	public long tokenLayerCapacity(AcceleratorKind kind, int heldLayers) {
		double freeBytes = (kind.memoryMb() - heldLayers * this.layerMb) * BYTES_PER_MB;
		return Math.max(0, (long) (freeBytes * this.layers / this.kvBytesPerToken));
	}

}
