package org.medlardrum.state;

import java.util.List;

/**
 * Load and holdings of an engine, as the engine reports them. Reports lag.
 *
 * @param server id of the engine
 * @param bootId changes with each restart of the engine process
 * @param model model whose layers the engine holds, empty when none is loaded
 * @param version version of the model
 * @param adapters adapters that are loaded
 * @param role role of the engine, for example {@code prefill}, {@code decode} or
 * {@code both}
 * @param fromLayer first layer held, inclusive
 * @param toLayer last layer held, exclusive
 * @param slots sequences that the engine runs at the same time
 * @param running sequences running
 * @param queued sequences waiting
 * @param layerTimeUs time of one layer for one token, in microseconds
 * @param leaving whether the engine refuses new work because it is about to stop
 * @param fencing whether the engine refuses orders with an old fencing token
 * @param reportedAtMs clock reading of the engine, in milliseconds
 */
public record EngineReport(String server, String bootId, String model, String version, List<String> adapters,
		String role, int fromLayer, int toLayer, int slots, int running, int queued, long layerTimeUs, boolean leaving,
		boolean fencing, long reportedAtMs) {

	public EngineReport {
		adapters = (adapters != null) ? List.copyOf(adapters) : List.of();
	}

}
