package org.medlardrum.state.routing;

/**
 * A kind of accelerator.
 *
 * @param name name in the configuration
 * @param memoryMb memory for weights and KV cache, in megabytes
 * @param stepFactor time of a decoding step relative to the pool's reference
 * @param prefillFactor time to read prompt tokens relative to the pool's reference
 */
public record AcceleratorKind(String name, double memoryMb, double stepFactor, double prefillFactor) {

	public AcceleratorKind {
		if (!(memoryMb > 0) || !(stepFactor > 0) || !(prefillFactor > 0)) {
			throw new IllegalArgumentException("Accelerator kind '" + name + "' has a figure that is not positive");
		}
	}

}
