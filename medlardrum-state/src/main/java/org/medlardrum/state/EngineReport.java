package org.medlardrum.state;

import java.util.List;

/**
 * State and load that an engine reports about itself. Reports lag behind the actual
 * state.
 *
 * @param server identifier of the engine
 * @param bootId identifier of the engine process, new with each restart
 * @param model model whose layers the engine holds, empty when none is loaded
 * @param version version of the model
 * @param adapters loaded adapters
 * @param role role of the engine, for example {@code prefill}, {@code decode} or
 * {@code both}
 * @param fromLayer first layer held, inclusive
 * @param toLayer last layer held, exclusive
 * @param slots largest number of sequences that the engine runs concurrently
 * @param running number of running sequences
 * @param queued number of queued sequences
 * @param layerTimeUs time of one layer for one token, in microseconds
 * @param leaving whether the engine refuses new requests because it shuts down gracefully
 * @param fencing whether the engine refuses orders with an outdated fencing token
 * @param reportedAtMs time of the report on the engine's clock, in milliseconds
 */
public record EngineReport(String server, String bootId, String model, String version, List<String> adapters,
		String role, int fromLayer, int toLayer, int slots, int running, int queued, long layerTimeUs, boolean leaving,
		boolean fencing, long reportedAtMs) {

	public EngineReport {
		adapters = (adapters != null) ? List.copyOf(adapters) : List.of();
	}

}
