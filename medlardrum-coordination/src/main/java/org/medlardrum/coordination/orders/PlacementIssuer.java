package org.medlardrum.coordination.orders;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.internal.BackgroundThread;
import org.medlardrum.decisions.pool.LayerReview;
import org.medlardrum.decisions.pool.PlacementServer;
import org.medlardrum.decisions.pool.PlacementView;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.ModelPool;
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

	/** The same while layers are missing or an order is outstanding. */
	private static final long URGENT_STEP_INTERVAL_MS = 250;

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

	private final Map<String, PoolHistory> historyByPool = new HashMap<>();

	private final LongAdder moves = new LongAdder();

	private final LongAdder layouts = new LongAdder();

	private volatile int incompleteZones;

	private volatile boolean holder;

	private volatile boolean urgent;

	private volatile Runnable urgentListener = () -> {
	};

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
	 * Sets an action that is called when layers are found missing. Called before the
	 * start.
	 * @param action the action
	 */
	public void onUrgent(Runnable action) {
		this.urgentListener = Objects.requireNonNull(action, "action");
	}

	/**
	 * Returns whether this host issues orders and layers are missing or an order is
	 * outstanding, so that changes of the registry should be read quickly.
	 * @return {@code true} if so
	 */
	public boolean isUrgent() {
		return this.urgent;
	}

	/**
	 * Returns the state and the counters.
	 * @return the state and the counters
	 */
	public PlacementStats stats() {
		return new PlacementStats(this.holder, this.moves.sum(), this.layouts.sum(), this.incompleteZones);
	}

	/**
	 * Records that this host follows a new era of the store. A holder of the lease in an
	 * earlier era may issue orders until that lease ends.
	 * @param era the era
	 */
	public void recordStoreEra(long era) {
		this.lease.recordStoreEra(era);
	}

	/**
	 * Renews or acquires the lease and compares all engines with the plan. Called by the
	 * thread {@code placement}, or directly by tests.
	 * @return time until the next step, in milliseconds
	 */
	public long step() {
		if (!this.mayLead.getAsBoolean()) {
			this.lease.abandon("the host is leaving");
			recordState(false, 0);
			return STEP_INTERVAL_MS;
		}
		this.lease.renew();
		if (!this.lease.isHeld() && !acquire()) {
			recordState(false, 0);
			return URGENT_STEP_INTERVAL_MS;
		}
		boolean missing = false;
		int incomplete = 0;
		Map<String, PoolHistory> histories = new HashMap<>(this.historyByPool);
		this.historyByPool.clear();
		for (PoolPlacement pool : this.pools.get()) {
			String key = pool.pool().model() + '#' + this.historyByPool.size();
			PoolHistory history = histories.getOrDefault(key, new PoolHistory());
			this.historyByPool.put(key, history);
			history.observe(pool, this.clock.millis());
			PlacementView.Result result = new LayerReview(pool.pool()).review(history.view(pool, this.clock.millis()));
			incomplete += result.incompleteZones();
			if (this.lease.maySendFirst()) {
				place(pool, history, result);
			}
			missing |= result.hasGap() || history.hasOrders(this.clock.millis());
		}
		recordState(missing, incomplete);
		return (missing) ? URGENT_STEP_INTERVAL_MS : STEP_INTERVAL_MS;
	}

	private void recordState(boolean missing, int incomplete) {
		boolean before = this.urgent;
		this.urgent = missing;
		this.holder = this.lease.isHeld();
		if (this.holder && incomplete != this.incompleteZones) {
			Logger.info("placement: {} zones without a complete chain of their own, {} before", incomplete,
					this.incompleteZones);
		}
		this.incompleteZones = incomplete;
		if (missing && !before) {
			this.urgentListener.run();
		}
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
		this.historyByPool.clear();
		return true;
	}

	private void place(PoolPlacement placement, PoolHistory history, PlacementView.Result result) {
		for (PlacementView.Layout layout : result.layouts()) {
			Logger.info(
					"placement: zone {} laid out again: {}, {} of {} engines receive new layers {}, gain {} requests, "
							+ "room for {} requests in the KV cache and for {} at first engines, limit {}",
					String.join(", ", layout.zones()), layout.reason(), layout.moves().size(),
					placement.servers().size(), layout.moves(), Math.round(layout.gainRequests()),
					Math.round(layout.capacity().cacheRequests()), Math.round(layout.capacity().firstEngineRequests()),
					layout.capacity().limit().label());
			this.layouts.increment();
			history.discardFormerLayers(layout.zones());
		}
		result.moves().forEach((id, layers) -> history.recordIntention(id, layers, this.clock.millis()));
		for (PlacementServer server : placement.servers()) {
			if (history.isRestartCheckDue(server, this.clock.millis())) {
				history.recordRestartCheck(server.id(),
						this.engines.report(server.address(), this.options.orderTimeoutMs()), this.clock.millis());
				this.lease.renew();
			}
			LayerRange desired = history.desiredLayers(server).orElse(null);
			if (desired != null && history.isDue(server.id(), this.clock.millis())
					&& !server.layers().equals(Optional.of(desired))) {
				if (!this.lease.maySendFirst()) {
					return;
				}
				history.recordIntention(server.id(), desired, this.clock.millis());
				sendOrder(placement.pool(), history, server, desired);
				this.lease.renew();
			}
		}
	}

	private void sendOrder(ModelPool pool, PoolHistory history, PlacementServer server, LayerRange desired) {
		if (desired.length() > pool.maxLayers(server.acceleratorKind()) || desired.toLayer() > pool.layers()) {
			Logger.warn("placement: engine {} at {} has no memory for layers {} to {}, no order was sent", server.id(),
					server.address(), desired.fromLayer(), desired.toLayer());
			return;
		}
		Optional<LayerReport> report = this.engines.report(server.address(), this.options.orderTimeoutMs());
		if (report.isEmpty()) {
			Logger.info("placement: engine {} at {} is unresponsive, no order was sent", server.id(), server.address());
			history.recordUnresponsive(server.id(), this.clock.millis());
			return;
		}
		if (report.get().busy()) {
			return;
		}
		if (report.get().layers().equals(Optional.of(desired))) {
			history.recordOrder(server.id(), this.clock.millis());
			return;
		}
		// The report may have taken most of the time for which the lease was valid.
		this.lease.renew();
		if (!this.lease.maySendFirst()) {
			return;
		}
		OrderResult result = this.engines.place(server.id(), server.address(), desired, report.get().acceptedOrders(),
				this.options.orderTimeoutMs());
		Logger.info("placement: engine {} at {} ordered to hold layers {} to {}: {}", server.id(), server.address(),
				desired.fromLayer(), desired.toLayer(), result);
		this.moves.increment();
		switch (result) {
			case OrderResult.Accepted accepted ->
				history.recordAccepted(server.id(), report.get().acceptedOrders(), this.clock.millis());
			// The engine may still execute the order. After SETTLE_MS the same layers are
			// ordered again.
			case OrderResult.Unknown unknown -> history.recordOrder(server.id(), this.clock.millis());
			// Sent again in the next step.
			case OrderResult.Refused refused -> {
			}
			case OrderResult.NotSent notSent -> history.recordUnresponsive(server.id(), this.clock.millis());
			case OrderResult.Fenced fenced ->
				this.lease.abandon("engine " + server.id() + " has seen a higher fencing token");
		}
	}

}
