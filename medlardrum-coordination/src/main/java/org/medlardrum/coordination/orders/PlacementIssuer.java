package org.medlardrum.coordination.orders;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
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
 * Places the layers of model pools. One host at a time issues orders, by a lease in the
 * store. An engine that ignores fencing tokens is guarded by the number of orders that it
 * has accepted: an order computed from an old report is refused.
 */
public final class PlacementIssuer implements AutoCloseable {

	/** Time between two comparisons. */
	private static final long STEP_MS = 500;

	/**
	 * Time for an ordered engine to show its layers in the registry: a load of a tenth of
	 * the model, a heartbeat, and an order that is carried out late.
	 */
	private static final long SETTLE_MS = 6_000;

	/** Time in which the predecessor of a new engine announces that it leaves. */
	private static final long NEW_SERVER_WAIT_MS = 1_500;

	/** Hosts that see the lease free try to take it within this time. */
	private static final long ACQUIRE_SPREAD_MS = 1_500;

	private final OrderLease lease;

	private final LayerOrders engines;

	private final Supplier<List<PoolPlacement>> pools;

	private final BooleanSupplier leaseIsFree;

	private final BooleanSupplier mayLead;

	private final InstantSource clock;

	private final RandomGenerator random;

	private final OrderOptions options;

	private final BackgroundThread thread = new BackgroundThread("placement", this::step);

	private final Map<String, Ordered> ordered = new HashMap<>();

	private final Map<String, LayerRange> lastByAddress = new HashMap<>();

	private final Map<String, Long> firstSeenMs = new HashMap<>();

	private long acquireAtMs = -1;

	/**
	 * Creates an issuer.
	 * @param store the store
	 * @param hostId name of the own host
	 * @param engines the engines
	 * @param pools pools with what the registry says of their engines
	 * @param leaseIsFree whether nobody held the lease when this host last heard
	 * @param mayLead whether this host may hold the lease
	 * @param clock the clock
	 * @param random random source
	 * @param options settings
	 */
	public PlacementIssuer(PlatformStore store, String hostId, LayerOrders engines, Supplier<List<PoolPlacement>> pools,
			BooleanSupplier leaseIsFree, BooleanSupplier mayLead, InstantSource clock, RandomGenerator random,
			OrderOptions options) {
		this.lease = new OrderLease(store, hostId, clock, options);
		this.engines = Objects.requireNonNull(engines, "engines");
		this.pools = Objects.requireNonNull(pools, "pools");
		this.leaseIsFree = Objects.requireNonNull(leaseIsFree, "leaseIsFree");
		this.mayLead = Objects.requireNonNull(mayLead, "mayLead");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.random = Objects.requireNonNull(random, "random");
		this.options = Objects.requireNonNull(options, "options");
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
	 * Renews or acquires the lease and compares all engines. Called by the thread of this
	 * responsibility, or by a test instead of it.
	 * @return time until the next step, in milliseconds
	 */
	public long step() {
		if (!this.mayLead.getAsBoolean()) {
			this.lease.drop("the host is leaving");
			return STEP_MS;
		}
		this.lease.renew();
		if (!this.lease.isHeld() && !acquire()) {
			return STEP_MS / 2;
		}
		if (this.lease.maySend(false)) {
			for (PoolPlacement pool : this.pools.get()) {
				place(pool);
			}
		}
		return STEP_MS;
	}

	private boolean acquire() {
		if (!this.leaseIsFree.getAsBoolean()) {
			this.acquireAtMs = -1;
			return false;
		}
		long nowMs = this.clock.millis();
		if (this.acquireAtMs < 0) {
			this.acquireAtMs = nowMs + this.random.nextLong(ACQUIRE_SPREAD_MS);
		}
		if (nowMs < this.acquireAtMs) {
			return false;
		}
		this.acquireAtMs = -1;
		if (!this.lease.acquire()) {
			return false;
		}
		// The orders of the former holder are not known.
		this.ordered.clear();
		return true;
	}

	private void place(PoolPlacement placement) {
		long nowMs = this.clock.millis();
		LayerPlanner planner = new LayerPlanner(placement.pool());
		List<PlacementServer> believed = new ArrayList<>();
		for (PlacementServer server : placement.servers()) {
			this.firstSeenMs.putIfAbsent(server.id(), nowMs);
			settle(server, nowMs);
			believed.add(believed(server));
		}
		this.firstSeenMs.keySet()
			.retainAll(placement.servers().stream().map(PlacementServer::id).collect(Collectors.toSet()));
		List<PlacementServer> ready = believed.stream()
			.filter((server) -> server.layers().isPresent() || isDue(server, planner, believed, nowMs))
			.toList();
		Map<String, LayerRange> plan = planner.plan(ready);
		for (PlacementServer server : placement.servers()) {
			Ordered order = this.ordered.get(server.id());
			LayerRange wanted = wanted(server, order, plan);
			boolean due = order == null || nowMs - order.atMs >= SETTLE_MS;
			if (wanted != null && due && !server.layers().equals(Optional.of(wanted))) {
				if (!this.lease.maySend(false)) {
					return;
				}
				order(server, wanted);
				this.lease.renew();
			}
		}
	}

	// An order is over when the registry shows its layers, or when it is given up because
	// the engine shows others for long.
	private void settle(PlacementServer server, long nowMs) {
		Ordered order = this.ordered.get(server.id());
		if (order != null && server.layers().isPresent()
				&& (server.layers().get().equals(order.layers) || nowMs - order.atMs >= SETTLE_MS)) {
			this.ordered.remove(server.id());
		}
		server.layers().ifPresent((layers) -> this.lastByAddress.put(server.address(), layers));
	}

	// A new engine often replaces another one that is about to leave: it waits for the
	// gap unless there is one already, or until most engines are empty.
	private boolean isDue(PlacementServer server, LayerPlanner planner, List<PlacementServer> all, long nowMs) {
		return nowMs - this.firstSeenMs.get(server.id()) >= NEW_SERVER_WAIT_MS || planner.hasGap(server, all);
	}

	private LayerRange wanted(PlacementServer server, Ordered order, Map<String, LayerRange> plan) {
		if (order != null) {
			return order.layers;
		}
		if (server.layers().isEmpty() && this.lastByAddress.containsKey(server.address())) {
			return this.lastByAddress.get(server.address());
		}
		return plan.get(server.id());
	}

	// Adds the layers that an engine has been ordered to hold, or those that its address
	// held before its restart.
	private PlacementServer believed(PlacementServer server) {
		Ordered order = this.ordered.get(server.id());
		Optional<LayerRange> layers = server.layers();
		if (order != null) {
			layers = Optional.of(order.layers);
		}
		else if (layers.isEmpty()) {
			layers = Optional.ofNullable(this.lastByAddress.get(server.address()));
		}
		return new PlacementServer(server.id(), server.address(), server.availabilityZone(), server.kind(), layers);
	}

	private void order(PlacementServer server, LayerRange wanted) {
		Optional<LayerReport> report = this.engines.report(server.address(), this.options.orderTimeoutMs());
		if (report.isEmpty()) {
			Logger.info("placement: {} at {} does not answer", server.id(), server.address());
			return;
		}
		if (report.get().busy()) {
			return;
		}
		if (report.get().layers().equals(Optional.of(wanted))) {
			remember(server, wanted);
			return;
		}
		OrderResult result = this.engines.place(server.address(), wanted, report.get().orders(),
				this.options.orderTimeoutMs());
		Logger.info("placement: {} at {} ordered to hold layers {} to {}: {}", server.id(), server.address(),
				wanted.fromLayer(), wanted.toLayer(), result);
		switch (result) {
			case OrderResult.Accepted accepted -> remember(server, wanted);
			// The engine may carry the order out later; the same one is sent again then.
			case OrderResult.Unknown unknown -> remember(server, wanted);
			case OrderResult.Refused refused -> this.ordered.remove(server.id());
			case OrderResult.NotSent notSent -> this.ordered.remove(server.id());
			case OrderResult.Fenced fenced -> this.lease.drop("engine " + server.id() + " has seen a newer token");
		}
	}

	private void remember(PlacementServer server, LayerRange wanted) {
		this.ordered.put(server.id(), new Ordered(wanted, this.clock.millis()));
	}

	/**
	 * An order that an engine may still be carrying out.
	 *
	 * @param layers the ordered layers
	 * @param atMs time of the order
	 */
	private record Ordered(LayerRange layers, long atMs) {
	}

}
