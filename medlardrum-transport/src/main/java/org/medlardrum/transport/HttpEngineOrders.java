package org.medlardrum.transport;

import java.util.Objects;
import java.util.Optional;

import org.medlardrum.coordination.orders.EngineOrders;
import org.medlardrum.coordination.orders.OrderResult;
import org.medlardrum.protocol.engine.EngineOrder;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.Outcome;

/**
 * Orders to engines over their HTTP interface.
 */
public final class HttpEngineOrders implements EngineOrders {

	private final EngineClient client;

	/**
	 * Creates the port.
	 * @param client client of the engines
	 */
	public HttpEngineOrders(EngineClient client) {
		this.client = Objects.requireNonNull(client, "client");
	}

	@Override
	public OrderResult send(BackendServer engine, EngineOrder order, long timeoutMs) {
		return this.client.sendOrder(engine.address(), order, timeoutMs);
	}

	@Override
	public Optional<EngineReport> report(BackendServer engine, long timeoutMs) {
		return (this.client.fetchReport(engine.address(),
				timeoutMs) instanceof Outcome.Completed<EngineReport> completed) ? Optional.of(completed.value())
						: Optional.empty();
	}

}
