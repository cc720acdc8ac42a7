package org.medlardrum.entry.internal.host;

import java.util.List;

import org.medlardrum.entry.internal.fleet.ServiceState;
import org.medlardrum.state.CircuitState;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.EngineState;
import org.medlardrum.state.FleetSnapshot;

/**
 * Estimated capacity of a pool.
 *
 * @param slots number of concurrent requests at which the pool is fully utilised
 * @param costPerS cost that the pool completes per second
 */
record PoolCapacity(double slots, double costPerS) {

	/** Capacity of a pool without usable servers. */
	static final PoolCapacity NONE = new PoolCapacity(0, 0);

	/**
	 * Factor on the number of sequences that Little's law gives. Sequences queue for each
	 * other at the stages, so a window of exactly throughput times unloaded latency
	 * leaves engines idle.
	 */
	private static final double WINDOW_HEADROOM = 1.5;

	/** Assumed latency of passing a token from one stage to the next. */
	private static final double STAGE_HOP_US = 1000;

	private static final double US_PER_S = 1e6;

	private static final double MS_PER_S = 1000;

	private static final int DEFAULT_IN_FLIGHT_PER_SERVER = 16;

	/**
	 * Computes the capacity of a pool of engines. The throughput is that of the layer
	 * with the least throughput over all engines; the number of sequences in flight at
	 * that throughput follows from Little's law.
	 * @param snapshot the engines of the pool
	 * @param layerCount number of layers of the model
	 * @return the capacity
	 */
	static PoolCapacity ofEngines(FleetSnapshot snapshot, int layerCount) {
		double[] tokensPerS = new double[layerCount];
		double layerTimeUs = 0;
		double stages = 0;
		for (EngineState engine : snapshot.engines()) {
			EngineReport report = engine.report();
			if (!isUsable(engine) || report.toLayer() > layerCount || report.layerTimeUs() <= 0) {
				continue;
			}
			int length = report.toLayer() - report.fromLayer();
			double rate = report.slots() * US_PER_S / ((double) report.layerTimeUs() * length);
			for (int layer = report.fromLayer(); layer < report.toLayer(); layer++) {
				tokensPerS[layer] += rate;
			}
			layerTimeUs = Math.max(layerTimeUs, report.layerTimeUs());
			stages = Math.max(stages, Math.ceil(layerCount / (double) length));
		}
		double slowest = Double.POSITIVE_INFINITY;
		for (double rate : tokensPerS) {
			slowest = Math.min(slowest, rate);
		}
		if (slowest <= 0 || Double.isInfinite(slowest)) {
			return NONE;
		}
		double tokenTimeS = (layerTimeUs * layerCount + stages * STAGE_HOP_US) / US_PER_S;
		return new PoolCapacity(Math.max(1, slowest * tokenTimeS * WINDOW_HEADROOM), slowest * layerCount);
	}

	private static boolean isUsable(EngineState engine) {
		return engine.report() != null && !engine.leaving() && engine.circuit() != CircuitState.OPEN
				&& engine.report().toLayer() > engine.report().fromLayer();
	}

	/**
	 * Computes the capacity of a pool of plain services.
	 * @param servers the servers
	 * @param maxInFlightPerServer maximum number of concurrent calls per server, or 0 for
	 * the default
	 * @param callTimeMs mean duration of a call, in milliseconds
	 * @return the capacity
	 */
	static PoolCapacity ofServices(List<ServiceState> servers, int maxInFlightPerServer, double callTimeMs) {
		long usable = servers.stream()
			.filter((server) -> !server.leaving() && server.circuit() != CircuitState.OPEN)
			.count();
		double slots = (double) usable
				* ((maxInFlightPerServer > 0) ? maxInFlightPerServer : DEFAULT_IN_FLIGHT_PER_SERVER);
		return new PoolCapacity(slots, slots * MS_PER_S / Math.max(1, callTimeMs));
	}

}
