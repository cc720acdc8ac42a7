package org.medlardrum.coordination.orders;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.internal.BackgroundThread;
import org.medlardrum.decisions.pool.LayerPlanner;
import org.medlardrum.decisions.pool.PlacementServer;
import org.medlardrum.state.LayerRange;
import org.tinylog.Logger;

/**
 * Places the layers of model pools on engines. One host at a time issues orders; it holds
 * a lease in the store. Each order names the number of orders that the engine had
 * accepted at its last report, so an engine that ignores fencing tokens still refuses an
 * order based on an outdated report.
 */
public final class PlacementIssuer implements AutoCloseable {

	/** Time between two comparisons of all engines with the plan. */
	private static final long STEP_INTERVAL_MS = 500;

	/**
	 * Time for an engine to register its ordered layers: loading a tenth of the model,
	 * one heartbeat, and an order that the engine executes late.
	 */
	private static final long SETTLE_MS = 6_000;

	/** Time for the engine that a new engine replaces to announce that it leaves. */
	private static final long NEW_SERVER_WAIT_MS = 1_500;

	/**
	 * Hosts that see a free lease try to acquire it after a random delay of up to this
	 * time.
	 */
	private static final long ACQUIRE_SPREAD_MS = 1_500;

	/**
	 * The same for each host of a large fleet: the first of them tries about this time
	 * after the lease became free, and most others see its success before their turn.
	 */
	private static final long ACQUIRE_SPREAD_MS_PER_HOST = 75;

	private final OrderLease lease;

	private final LayerOrders engines;

	private final Supplier<List<PoolPlacement>> pools;

	private final BooleanSupplier leaseIsFree;

	private final BooleanSupplier mayLead;

	private final InstantSource clock;

	private final RandomGenerator random;

	private final OrderOptions options;

	private final BackgroundThread thread = new BackgroundThread("placement", this::step);

	private final Map<String, PendingOrder> pendingOrders = new HashMap<>();

	private final Map<String, LayerRange> lastLayersByAddress = new HashMap<>();

	private final Map<String, Long> firstSeenMs = new HashMap<>();

	private long acquireAtMs = -1;

	private IntSupplier hostCount = () -> 1;

	/**
	 * Creates an issuer.
	 * @param store the store
	 * @param ownHostId identifier of the own host
	 * @param engines the engines
	 * @param pools supplies the pools and their registered engines
	 * @param leaseIsFree whether no host held the lease in the last state that this host
	 * received
	 * @param mayLead whether this host may hold the lease
	 * @param clock the clock
	 * @param random source of the delay before the lease is acquired
	 * @param options settings
	 */
	public PlacementIssuer(PlatformStore store, String ownHostId, LayerOrders engines,
			Supplier<List<PoolPlacement>> pools, BooleanSupplier leaseIsFree, BooleanSupplier mayLead,
			InstantSource clock, RandomGenerator random, OrderOptions options) {
		this.lease = new OrderLease(store, ownHostId, clock, options);
		this.engines = Objects.requireNonNull(engines, "engines");
		this.pools = Objects.requireNonNull(pools, "pools");
		this.leaseIsFree = Objects.requireNonNull(leaseIsFree, "leaseIsFree");
		this.mayLead = Objects.requireNonNull(mayLead, "mayLead");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.random = Objects.requireNonNull(random, "random");
		this.options = Objects.requireNonNull(options, "options");
	}

	/**
	 * Sets the number of hosts that try to acquire the lease. Called before the start.
	 * @param hosts supplies the number
	 */
	public void spreadOver(IntSupplier hosts) {
		this.hostCount = Objects.requireNonNull(hosts, "hosts");
	}

	/**
	 * Returns the key of the lease in the store.
	 * @return the key
	 */
	public static String leaseKey() {
		return OrderLease.KEY;
	}

	/**
	 * Starts the thread that issues orders.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * Renews or acquires the lease and compares all engines with the plan. Called by the
	 * thread {@code placement}, or directly by tests.
	 * @return time until the next step, in milliseconds
	 */
	public long step() {
		if (!this.mayLead.getAsBoolean()) {
			this.lease.abandon("the host is leaving");
			return STEP_INTERVAL_MS;
		}
		this.lease.renew();
		if (!this.lease.isHeld() && !acquire()) {
			return STEP_INTERVAL_MS / 2;
		}
		if (this.lease.maySend(false)) {
			for (PoolPlacement pool : this.pools.get()) {
				place(pool);
			}
		}
		return STEP_INTERVAL_MS;
	}

	private boolean acquire() {
		if (!this.leaseIsFree.getAsBoolean()) {
			this.acquireAtMs = -1;
			return false;
		}
		long nowMs = this.clock.millis();
		if (this.acquireAtMs < 0) {
			this.acquireAtMs = nowMs + this.random
				.nextLong(Math.max(ACQUIRE_SPREAD_MS, this.hostCount.getAsInt() * ACQUIRE_SPREAD_MS_PER_HOST));
		}
		if (nowMs < this.acquireAtMs) {
			return false;
		}
		this.acquireAtMs = -1;
		if (!this.lease.acquire()) {
			return false;
		}
		// The former holder may have sent orders that are not recorded here.
		this.pendingOrders.clear();
		return true;
	}

	private void place(PoolPlacement placement) {
		long nowMs = this.clock.millis();
		LayerPlanner planner = new LayerPlanner(placement.pool());
		List<PlacementServer> expected = new ArrayList<>();
		for (PlacementServer server : placement.servers()) {
			this.firstSeenMs.putIfAbsent(server.id(), nowMs);
			removeFinishedOrder(server, nowMs);
			expected.add(withExpectedLayers(server));
		}
		this.firstSeenMs.keySet()
			.retainAll(placement.servers().stream().map(PlacementServer::id).collect(Collectors.toSet()));
		List<PlacementServer> ready = expected.stream()
			.filter((server) -> server.layers().isPresent() || isReadyForLayers(server, planner, expected, nowMs))
			.toList();
		Map<String, LayerRange> plan = planner.plan(ready);
		for (PlacementServer server : placement.servers()) {
			PendingOrder order = this.pendingOrders.get(server.id());
			LayerRange desired = desiredLayers(server, order, plan);
			boolean due = order == null || nowMs - order.sentAtMs >= SETTLE_MS;
			if (desired != null && due && !server.layers().equals(Optional.of(desired))) {
				if (!this.lease.maySend(false)) {
					return;
				}
				sendOrder(server, desired);
				this.lease.renew();
			}
		}
	}

	// Removes an order when the engine has registered its layers, or abandons it when the
	// engine has registered other layers for SETTLE_MS after the order.
	private void removeFinishedOrder(PlacementServer server, long nowMs) {
		PendingOrder order = this.pendingOrders.get(server.id());
		if (order != null && server.layers().isPresent()
				&& (server.layers().get().equals(order.layers) || nowMs - order.sentAtMs >= SETTLE_MS)) {
			this.pendingOrders.remove(server.id());
		}
		server.layers().ifPresent((layers) -> this.lastLayersByAddress.put(server.address(), layers));
	}

	// A new engine often replaces another one that is about to leave, so it waits
	// NEW_SERVER_WAIT_MS for the layers of that one to become free. It does not wait when
	// some layers are already held by no engine, as when most engines are empty.
	private boolean isReadyForLayers(PlacementServer server, LayerPlanner planner, List<PlacementServer> all,
			long nowMs) {
		return nowMs - this.firstSeenMs.get(server.id()) >= NEW_SERVER_WAIT_MS || planner.hasGap(server, all);
	}

	private LayerRange desiredLayers(PlacementServer server, PendingOrder order, Map<String, LayerRange> plan) {
		if (order != null) {
			return order.layers;
		}
		if (server.layers().isEmpty() && this.lastLayersByAddress.containsKey(server.address())) {
			return this.lastLayersByAddress.get(server.address());
		}
		return plan.get(server.id());
	}

	// Returns the engine with the layers that it has been ordered to hold, or those that
	// the engine at its address held before a restart.
	private PlacementServer withExpectedLayers(PlacementServer server) {
		PendingOrder order = this.pendingOrders.get(server.id());
		Optional<LayerRange> layers = server.layers();
		if (order != null) {
			layers = Optional.of(order.layers);
		}
		else if (layers.isEmpty()) {
			layers = Optional.ofNullable(this.lastLayersByAddress.get(server.address()));
		}
		return new PlacementServer(server.id(), server.address(), server.availabilityZone(), server.acceleratorKind(),
				layers);
	}

	private void sendOrder(PlacementServer server, LayerRange desired) {
		Optional<LayerReport> report = this.engines.report(server.address(), this.options.orderTimeoutMs());
		if (report.isEmpty()) {
			Logger.info("placement: engine {} at {} is unresponsive, no order was sent", server.id(), server.address());
			return;
		}
		if (report.get().busy()) {
			return;
		}
		if (report.get().layers().equals(Optional.of(desired))) {
			recordPending(server, desired);
			return;
		}
		OrderResult result = this.engines.place(server.address(), desired, report.get().acceptedOrders(),
				this.options.orderTimeoutMs());
		Logger.info("placement: engine {} at {} ordered to hold layers {} to {}: {}", server.id(), server.address(),
				desired.fromLayer(), desired.toLayer(), result);
		switch (result) {
			case OrderResult.Accepted accepted -> recordPending(server, desired);
			// The engine may still execute the order. After SETTLE_MS the same layers are
			// ordered again.
			case OrderResult.Unknown unknown -> recordPending(server, desired);
			case OrderResult.Refused refused -> this.pendingOrders.remove(server.id());
			case OrderResult.NotSent notSent -> this.pendingOrders.remove(server.id());
			case OrderResult.Fenced fenced ->
				this.lease.abandon("engine " + server.id() + " has seen a higher fencing token");
		}
	}

	private void recordPending(PlacementServer server, LayerRange desired) {
		this.pendingOrders.put(server.id(), new PendingOrder(desired, this.clock.millis()));
	}

	/**
	 * An order that an engine may still be executing.
	 *
	 * @param layers the ordered layers
	 * @param sentAtMs time when the order was sent
	 */
	private record PendingOrder(LayerRange layers, long sentAtMs) {
	}

}
