package org.medlardrum.state.routing;

import java.util.Map;

/**
 * Parameters of a pool of model engines, from the operator's configuration.
 *
 * @param model name of the model
 * @param layers number of layers
 * @param layerMb memory of the weights of one layer, in megabytes
 * @param kvBytesPerToken KV cache of one token over all layers, in bytes
 * @param stepMs time of one decode step of an empty batch over all layers, in
 * milliseconds
 * @param perSequenceMs additional time of a step for each sequence in its batch, in
 * milliseconds
 * @param contextMsPerKiloToken additional time of a step for each 1,000 tokens of
 * context, in milliseconds
 * @param prefillTokensPerMs prompt tokens prefilled in one millisecond over all layers
 * @param loadMs time to load the weights of all layers, in milliseconds
 * @param kinds kinds of accelerators by name
 * @param zoneDelayMs one-way delay between availability zones, by {@link #zonePairKey}
 * @param activationBytes bytes that a token sends from one engine of a chain to the next
 * @param zoneLinkMbps bandwidth of the links between availability zones, which all
 * requests share, in megabits per second, 0 for no limit
 * @param meanPromptTokens mean length of a prompt, in tokens
 * @param meanGeneratedTokens mean length of a completion, in tokens
 */
public record ModelPool(String model, int layers, double layerMb, double kvBytesPerToken, double stepMs,
		double perSequenceMs, double contextMsPerKiloToken, double prefillTokensPerMs, double loadMs,
		Map<String, AcceleratorKind> kinds, Map<String, Double> zoneDelayMs, double activationBytes,
		double zoneLinkMbps, int meanPromptTokens, int meanGeneratedTokens) {

	private static final double BYTES_PER_MB = 1_000_000;

	private static final double BITS_PER_BYTE = 8;

	private static final double BITS_PER_MS_AT_1_MBPS = 1_000;

	/**
	 * Typical prompts per second below which a link between zones counts as scarce. The
	 * links of the users' sites carry 29.7 and 21.4 prompts per second where chains
	 * across zones saturated them, and at least 33.9 elsewhere.
	 */
	private static final double MIN_PROMPTS_PER_S = 33;

	private static final double MS_PER_S = 1_000;

	/** One-way delay within an availability zone, from the users' data sheet. */
	private static final double SAME_ZONE_DELAY_MS = 0.2;

	/** One-way delay between zones that the configuration does not list. */
	private static final double UNKNOWN_ZONE_DELAY_MS = 1;

	public ModelPool {
		if (layers < 1 || !(layerMb > 0) || !(kvBytesPerToken > 0) || !(stepMs > 0) || !(prefillTokensPerMs > 0)) {
			throw new IllegalArgumentException("Pool of model '" + model + "' must have positive values, but has "
					+ layers + " layers of " + layerMb + " MB, " + kvBytesPerToken + " KV bytes per token, steps of "
					+ stepMs + " ms and " + prefillTokensPerMs + " prefill tokens per ms");
		}
		kinds = Map.copyOf(kinds);
		zoneDelayMs = Map.copyOf(zoneDelayMs);
	}

	/**
	 * Returns the key of a pair of availability zones in {@link #zoneDelayMs}. The order
	 * of the zones does not matter.
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
	 * Returns the time for which the activations of tokens occupy the link between two
	 * availability zones.
	 * @param tokens number of tokens
	 * @param one an availability zone
	 * @param other an availability zone
	 * @return the time, in milliseconds, 0 within a zone
	 */
	public double transferMs(int tokens, String one, String other) {
		return (one.equals(other)) ? 0 : linkMs(tokens);
	}

	/**
	 * Returns whether the links between the availability zones carry so few prompts that
	 * chains across zones saturate them.
	 * @return {@code false} if the links have no limit
	 */
	public boolean hasScarceZoneLinks() {
		return linkMs(this.meanPromptTokens) * MIN_PROMPTS_PER_S > MS_PER_S;
	}

	/**
	 * Returns the number of tokens whose activations a link between two availability
	 * zones carries.
	 * @return the tokens per second, {@link Double#POSITIVE_INFINITY} without a limit
	 */
	public double zoneLinkTokensPerS() {
		return MS_PER_S / linkMs(1);
	}

	private double linkMs(int tokens) {
		return (this.zoneLinkMbps <= 0) ? 0
				: tokens * this.activationBytes * BITS_PER_BYTE / (this.zoneLinkMbps * BITS_PER_MS_AT_1_MBPS);
	}

	/**
	 * Returns the number of layers whose weights fit into the memory of an accelerator.
	 * @param kind the accelerator
	 * @return the number of layers
	 */
	public int maxLayers(AcceleratorKind kind) {
		return Math.min(this.layers, (int) (kind.memoryMb() / this.layerMb));
	}

	/**
	 * Returns the KV cache capacity that remains beside the weights of a number of
	 * layers.
	 * @param kind the accelerator
	 * @param heldLayers number of layers held
	 * @return the capacity, in tokens times layers
	 */
	public long tokenLayerCapacity(AcceleratorKind kind, int heldLayers) {
		double freeBytes = (kind.memoryMb() - heldLayers * this.layerMb) * BYTES_PER_MB;
		return Math.max(0, (long) (freeBytes * this.layers / this.kvBytesPerToken));
	}

}
