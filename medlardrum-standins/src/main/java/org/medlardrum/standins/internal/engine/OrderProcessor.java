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
 * Handles {@code POST /v1/orders}. An order is answered with 202 at once and carried out
 * in the background; later orders wait for earlier ones. While a model is loaded, the
 * engine holds none.
 */
public final class OrderProcessor {

	private static final Gson GSON = new Gson();

	/** Adapters are small beside their model: a fiftieth of a layer range's weights. */
	private static final int ADAPTER_WEIGHT_DIVISOR = 50;

	private static final long DRAIN_CHECK_MS = 5;

	private final EngineCore core;

	private final WeightStore weights;

	private final Object loading = new Object();

	private long largestToken;

	/**
	 * Creates a processor.
	 * @param core state of the engine
	 * @param weights source of the weights
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
		long largest;
		synchronized (this) {
			largest = this.largestToken;
			this.largestToken = Math.max(largest, order.fencingToken());
		}
		if (this.core.settings().fencing() && order.fencingToken() < largest) {
			exchange.sendJson(409, Map.of("error", "stale fencing token", "largestFencingToken", largest));
			return;
		}
		Thread.ofVirtual().start(() -> carryOut(order, this.core.holdings().bootId()));
		exchange.sendJson(202, Map.of("accepted", true));
	}

	private void carryOut(EngineOrder order, String bootId) {
		synchronized (this.loading) {
			try {
				if (order.role() != null && !order.role().isEmpty()) {
					this.core.holdings().role(order.role());
				}
				if (order.model() != null && !order.model().isEmpty()) {
					loadModel(order, bootId);
				}
				if (order.adapters() != null) {
					loadAdapters(order.adapters(), bootId);
				}
			}
			catch (InterruptedException ex) {
				Logger.warn("engine: order {} was interrupted", order.orderId());
			}
		}
	}

	private void loadModel(EngineOrder order, String bootId) throws InterruptedException {
		Holdings holdings = this.core.holdings();
		if (holdings.serves(order.model(), order.version())) {
			return;
		}
		this.core.holdings().model("", "");
		while (this.core.running().size() > 0) {
			Thread.sleep(DRAIN_CHECK_MS);
		}
		this.weights.transfer(modelBytes());
		if (bootId.equals(holdings.bootId())) {
			holdings.model(order.model(), (order.version() != null) ? order.version() : "");
		}
	}

	private void loadAdapters(List<String> wanted, String bootId) throws InterruptedException {
		Set<String> missing = new HashSet<>(wanted);
		missing.removeAll(this.core.holdings().adapters());
		this.weights.transfer(missing.size() * modelBytes() / ADAPTER_WEIGHT_DIVISOR);
		if (bootId.equals(this.core.holdings().bootId())) {
			this.core.holdings().adapters(wanted);
		}
	}

	private long modelBytes() {
		return this.core.settings().layerWeightBytes()
				* (this.core.settings().toLayer() - this.core.settings().fromLayer());
	}

}
