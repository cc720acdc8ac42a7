package org.medlardrum.coordination.orders;

import java.util.Optional;

import org.medlardrum.state.LayerRange;

/**
 * Port to the engines for orders to hold layers. Both methods block for at most the given
 * time and never throw for a failure of the engine.
 */
public interface LayerOrders {

	/**
	 * Reads the state of an engine from the engine itself.
	 * @param address {@code ip:port} of the engine
	 * @param timeoutMs longest duration of the call
	 * @return the report, empty when the engine did not answer
	 */
	Optional<LayerReport> report(String address, long timeoutMs);

	/**
	 * Orders an engine to hold layers instead of those that it holds. The engine refuses
	 * when it has begun another order since the report.
	 * @param address {@code ip:port} of the engine
	 * @param layers the layers
	 * @param expectedOrders number of orders in the report
	 * @param timeoutMs longest duration of the call
	 * @return the result
	 */
	OrderResult place(String address, LayerRange layers, long expectedOrders, long timeoutMs);

}
