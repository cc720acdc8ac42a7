package org.medlardrum.entry.internal.fleet;

import java.util.List;
import java.util.Map;

import org.medlardrum.state.CircuitState;
import org.medlardrum.state.EngineState;
import org.medlardrum.state.FleetSnapshot;

/**
 * Immutable view of all backend servers.
 *
 * @param engines engines by pool
 * @param services plain services by pool
 */
public record FleetView(Map<String, FleetSnapshot> engines, Map<String, List<ServiceState>> services) {

	/** A view without servers. */
	public static final FleetView EMPTY = new FleetView(Map.of(), Map.of());

	/**
	 * Returns the number of backend servers whose circuit breaker is in a state.
	 * @param state the state
	 * @return the number of servers
	 */
	public long circuitCount(CircuitState state) {
		long count = 0;
		for (FleetSnapshot snapshot : this.engines.values()) {
			count += snapshot.engines().stream().filter((engine) -> engine.circuit() == state).count();
		}
		for (List<ServiceState> pool : this.services.values()) {
			count += pool.stream().filter((service) -> service.circuit() == state).count();
		}
		return count;
	}

	/**
	 * Returns an engine.
	 * @param serverId id of the engine
	 * @return the engine, {@code null} if it is not listed
	 */
	public EngineState engine(String serverId) {
		for (FleetSnapshot snapshot : this.engines.values()) {
			for (EngineState engine : snapshot.engines()) {
				if (engine.server().id().equals(serverId)) {
					return engine;
				}
			}
		}
		return null;
	}

}
