package org.medlardrum.coordination.orders;

import java.util.Optional;

import org.medlardrum.state.LayerRange;

/**
 * Sends orders to hold layers to engines and reads their layer reports. Both methods
 * block for at most the given time and do not throw when an engine fails.
 */
public interface LayerOrders {

	/**
	 * Reads the state of an engine from the engine itself.
	 * @param address {@code ip:port} of the engine
	 * @param timeoutMs longest duration of the call
	 * @return the report, empty when the engine did not respond
	 */
	Optional<LayerReport> report(String address, long timeoutMs);

	/**
	 * Orders an engine to replace the layers that it holds. The engine refuses the order
	 * if it has accepted another one since the report, or if another engine now has the
	 * address, which may have less memory.
	 * @param engineId identifier of the engine
	 * @param address {@code ip:port} of the engine
	 * @param layers the layers to hold
	 * @param expectedOrders number of accepted orders in the report
	 * @param timeoutMs longest duration of the call
	 * @return the result
	 */
	OrderResult place(String engineId, String address, LayerRange layers, long expectedOrders, long timeoutMs);

}
