package org.medlardrum.coordination.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.medlardrum.protocol.engine.EngineOrder;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.EngineReport;

/**
 * Engine that executes orders immediately. A fencing engine refuses outdated tokens.
 */
final class FakeEngine implements EngineOrders {

	final List<EngineOrder> acceptedOrders = new ArrayList<>();

	final boolean fencing;

	/** Called after an order is sent and before it arrives at the engine. */
	Consumer<EngineOrder> beforeArrival = (order) -> {
	};

	String version = "v1";

	boolean loseResponse;

	private long highestToken;

	FakeEngine(boolean fencing) {
		this.fencing = fencing;
	}

	@Override
	public OrderResult send(BackendServer engine, EngineOrder order, long timeoutMs) {
		this.beforeArrival.accept(order);
		if (this.fencing && order.fencingToken() < this.highestToken) {
			return new OrderResult.Fenced(this.highestToken);
		}
		this.highestToken = Math.max(this.highestToken, order.fencingToken());
		this.acceptedOrders.add(order);
		this.version = order.version();
		return (this.loseResponse) ? new OrderResult.Unknown("response lost") : new OrderResult.Accepted();
	}

	@Override
	public Optional<EngineReport> report(BackendServer engine, long timeoutMs) {
		return Optional.of(new EngineReport(engine.id(), "boot", "tally", this.version, List.of(), "both", 0, 16, 8, 0,
				0, 100, false, this.fencing, 0));
	}

}
