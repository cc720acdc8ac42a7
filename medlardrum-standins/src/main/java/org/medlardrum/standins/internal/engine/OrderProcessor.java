package org.medlardrum.standins.internal.engine;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.gson.Gson;
import org.medlardrum.protocol.engine.EngineOrder;
import org.medlardrum.standins.WeightStore;
import org.medlardrum.standins.internal.http.Exchange;
import org.tinylog.Logger;

/**
 * Handles {@code POST /v1/orders}. An order is acknowledged with 202 at once and executed
 * in the background, one order at a time. While the engine loads a model, it serves none.
 */
public final class OrderProcessor {

	private static final Gson GSON = new Gson();

	/**
	 * Adapters are small compared with their model: a fiftieth of the weights of the
	 * layer range.
	 */
	private static final int ADAPTER_WEIGHT_DIVISOR = 50;

	private static final long DRAIN_POLL_INTERVAL_MS = 5;

	private final EngineCore core;

	private final WeightStore weights;

	private final Object loadLock = new Object();

	private long largestFencingToken;

	/**
	 * Creates a processor.
	 * @param core shared state of the engine
	 * @param weights store that the weights are loaded from
	 */
	public OrderProcessor(EngineCore core, WeightStore weights) {
		this.core = core;
		this.weights = weights;
	}

	/**
	 * Handles an order.
	 * @param exchange the request and its response
	 * @throws IOException if the connection breaks
	 * @throws InterruptedException if the thread is interrupted while the engine is
	 * frozen
	 */
	public void handle(Exchange exchange) throws IOException, InterruptedException {
		this.core.faults().awaitUnfrozen();
		EngineOrder order = GSON.fromJson(exchange.body(), EngineOrder.class);
		if (order == null) {
			throw new IllegalArgumentException("The order is empty");
		}
		long previousLargest;
		synchronized (this) {
			previousLargest = this.largestFencingToken;
			this.largestFencingToken = Math.max(previousLargest, order.fencingToken());
		}
		if (this.core.settings().fencing() && order.fencingToken() < previousLargest) {
			exchange.sendJson(409, Map.of("error", "stale fencing token", "largestFencingToken", previousLargest));
			return;
		}
		Thread.ofVirtual().start(() -> execute(order, this.core.state().bootId()));
		exchange.sendJson(202, Map.of("accepted", true));
	}

	private void execute(EngineOrder order, String bootId) {
		synchronized (this.loadLock) {
			try {
				if (order.role() != null && !order.role().isEmpty()) {
					this.core.state().role(order.role());
				}
				if (order.model() != null && !order.model().isEmpty()) {
					loadModel(order, bootId);
				}
				if (order.adapters() != null) {
					loadAdapters(order.adapters(), bootId);
				}
			}
			catch (InterruptedException ex) {
				Logger.warn("engine: order {} was interrupted and is not completed", order.orderId());
			}
		}
	}

	private void loadModel(EngineOrder order, String bootId) throws InterruptedException {
		EngineState state = this.core.state();
		if (state.serves(order.model(), order.version())) {
			return;
		}
		this.core.state().model("", "");
		while (this.core.activeRequests().size() > 0) {
			Thread.sleep(DRAIN_POLL_INTERVAL_MS);
		}
		this.weights.transfer(modelBytes());
		if (bootId.equals(state.bootId())) {
			state.model(order.model(), (order.version() != null) ? order.version() : "");
		}
	}

	private void loadAdapters(List<String> adapters, String bootId) throws InterruptedException {
		Set<String> missing = new HashSet<>(adapters);
		missing.removeAll(this.core.state().adapters());
		this.weights.transfer(missing.size() * modelBytes() / ADAPTER_WEIGHT_DIVISOR);
		if (bootId.equals(this.core.state().bootId())) {
			this.core.state().adapters(adapters);
		}
	}

	private long modelBytes() {
		return this.core.settings().layerWeightBytes()
				* (this.core.settings().toLayer() - this.core.settings().fromLayer());
	}

}
