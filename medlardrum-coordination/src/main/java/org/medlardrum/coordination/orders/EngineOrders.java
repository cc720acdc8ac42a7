package org.medlardrum.coordination.orders;

import java.util.Optional;

import org.medlardrum.protocol.engine.EngineOrder;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.EngineReport;

/**
 * Sends orders to engines and reads their reports. Both methods block for at most the
 * given time and do not throw when an engine fails.
 */
public interface EngineOrders {

	/**
	 * Sends an order. It must not be sent, or sent again, after the timeout has elapsed.
	 * @param engine the engine
	 * @param order the order
	 * @param timeoutMs longest duration of the call
	 * @return the result
	 */
	OrderResult send(BackendServer engine, EngineOrder order, long timeoutMs);

	/**
	 * Reads the state of an engine from the engine itself.
	 * @param engine the engine
	 * @param timeoutMs longest duration of the call
	 * @return the report, empty when the engine did not respond
	 */
	Optional<EngineReport> report(BackendServer engine, long timeoutMs);

}
