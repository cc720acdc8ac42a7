package org.medlardrum.coordination.orders;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.internal.BackgroundThread;
import org.medlardrum.coordination.internal.Rendezvous;
import org.medlardrum.coordination.membership.Membership;
import org.medlardrum.protocol.engine.EngineOrder;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.BackendServerKind;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostState;
import org.medlardrum.state.config.PlacementConfig;
import org.tinylog.Logger;

/**
 * Brings engines to their desired state. One host at a time issues orders; it holds a
 * lease in the store. Orders carry the complete desired state, and every pass reads the
 * engines' reports, so a late order of a former holder is corrected within one pass.
 *
 * <p>
 * Engines that ignore the fencing token can still receive one outdated order from a
 * former holder, if it was paused for longer than the margin between checking its lease
 * and sending the order.
 */
public final class OrderIssuer implements AutoCloseable {

	/** Engines checked in one step, so that the lease is renewed in between. */
	private static final int ENGINES_PER_STEP = 50;

	private final EngineOrders engines;

	private final Membership membership;

	private final String ownHostId;

	private final Supplier<Map<String, PlacementConfig>> placements;

	private final DoubleSupplier loadsPerMinute;

	private final InstantSource clock;

	private final OrderOptions options;

	private final OrderLease lease;

	private final LoadRateLimiter loadRateLimiter;

	private final BackgroundThread thread;

	private final Map<String, PendingOrder> pendingOrders = new HashMap<>();

	private final LongAdder sentOrders = new LongAdder();

	private final LongAdder fencedOrders = new LongAdder();

	private final LongAdder guardedOrders = new LongAdder();

	private final LongAdder limitedOrders = new LongAdder();

	private Iterator<BackendServer> remainingEngines = List.<BackendServer>of().iterator();

	private long nextPassAtMs;

	private volatile long publishedToken;

	/**
	 * Creates an issuer.
	 * @param store the store
	 * @param engines the engines
	 * @param membership the entry hosts and backend servers
	 * @param ownHostId identifier of the own host
	 * @param placements supplies the desired state by engine
	 * @param loadsPerMinute supplies the largest rate of loads from the weight store
	 * @param clock the clock
	 * @param options settings
	 */
	public OrderIssuer(PlatformStore store, EngineOrders engines, Membership membership, String ownHostId,
			Supplier<Map<String, PlacementConfig>> placements, DoubleSupplier loadsPerMinute, InstantSource clock,
			OrderOptions options) {
		this.engines = Objects.requireNonNull(engines, "engines");
		this.membership = Objects.requireNonNull(membership, "membership");
		this.ownHostId = Objects.requireNonNull(ownHostId, "ownHostId");
		this.placements = Objects.requireNonNull(placements, "placements");
		this.loadsPerMinute = Objects.requireNonNull(loadsPerMinute, "loadsPerMinute");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.options = Objects.requireNonNull(options, "options");
		this.lease = new OrderLease(store, ownHostId, clock, options);
		this.loadRateLimiter = new LoadRateLimiter(clock.millis());
		this.thread = new BackgroundThread("orders", this::step);
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
	 * Returns the state and the counters.
	 * @return the state and the counters
	 */
	public OrderStats stats() {
		long token = this.publishedToken;
		return new OrderStats(token != 0, token, this.sentOrders.sum(), this.fencedOrders.sum(),
				this.guardedOrders.sum(), this.limitedOrders.sum());
	}

	/**
	 * Renews or acquires the lease and checks some of the engines. Called by the thread
	 * {@code orders}, or directly by tests.
	 * @return time until the next step, in milliseconds
	 */
	public long step() {
		this.lease.renew();
		if (!this.lease.isHeld()) {
			this.publishedToken = 0;
			if (!isCandidate() || !this.lease.acquire()) {
				return this.options.leaseTtlMs() / 5;
			}
			// The former holder may have sent orders that are not recorded here.
			this.pendingOrders.clear();
			this.remainingEngines = List.<BackendServer>of().iterator();
			this.nextPassAtMs = this.clock.millis();
		}
		this.publishedToken = this.lease.token();
		return reconcileBatch();
	}

	private boolean isCandidate() {
		if (this.membership.isLeaving(this.ownHostId)) {
			return false;
		}
		List<String> ids = new ArrayList<>(this.membership.livePeers().stream().map(Host::id).toList());
		ids.add(this.ownHostId);
		Comparator<String> byWeight = Comparator.comparingLong((id) -> Rendezvous.weight("orders", id));
		return ids.stream()
			.sorted(byWeight.reversed())
			.limit(this.options.candidates())
			.anyMatch(this.ownHostId::equals);
	}

	private long reconcileBatch() {
		if (!this.remainingEngines.hasNext()) {
			long nowMs = this.clock.millis();
			if (nowMs < this.nextPassAtMs) {
				return Math.min(this.nextPassAtMs - nowMs, this.options.leaseTtlMs() / 5);
			}
			this.nextPassAtMs = nowMs + this.options.reconcileMs();
			this.remainingEngines = this.membership.directory()
				.backendServers()
				.stream()
				.filter((server) -> server.kind() == BackendServerKind.ENGINE && server.state() == HostState.LIVE)
				.iterator();
		}
		Map<String, PlacementConfig> desired = this.placements.get();
		for (int i = 0; i < ENGINES_PER_STEP && this.remainingEngines.hasNext(); i++) {
			BackendServer engine = this.remainingEngines.next();
			PlacementConfig placement = desired.get(engine.id());
			if (placement != null) {
				reconcile(engine, placement);
			}
			this.lease.renew();
			if (!this.lease.isHeld()) {
				return 0;
			}
		}
		return (this.remainingEngines.hasNext()) ? 0
				: Math.min(this.options.reconcileMs(), this.options.leaseTtlMs() / 5);
	}

	private void reconcile(BackendServer engine, PlacementConfig desired) {
		Optional<EngineReport> report = this.engines.report(engine, this.options.orderTimeoutMs());
		if (report.isEmpty() || report.get().leaving()) {
			return;
		}
		boolean loaded = hasDesiredModel(report.get(), desired);
		if (loaded && hasDesiredRole(report.get(), desired)) {
			this.pendingOrders.remove(engine.id());
			return;
		}
		PendingOrder before = this.pendingOrders.get(engine.id());
		if (before != null && before.desired().equals(desired)
				&& this.clock.millis() - before.sentAtMs() < this.options.settleMs()) {
			return;
		}
		sendOrder(engine, desired, report.get().fencing(), !loaded);
	}

	private static boolean hasDesiredModel(EngineReport report, PlacementConfig desired) {
		return desired.model().equals(report.model())
				&& (isUnspecified(desired.version()) || desired.version().equals(report.version()))
				&& new HashSet<>(report.adapters()).equals(new HashSet<>(adapters(desired)));
	}

	private static boolean hasDesiredRole(EngineReport report, PlacementConfig desired) {
		return isUnspecified(desired.role()) || desired.role().equals(report.role());
	}

	private static boolean isUnspecified(String text) {
		return text == null || text.isEmpty();
	}

	private static List<String> adapters(PlacementConfig desired) {
		return (desired.adapters() != null) ? desired.adapters() : List.of();
	}

	private void sendOrder(BackendServer engine, PlacementConfig desired, boolean fencing, boolean load) {
		if (!this.lease.maySend(fencing)) {
			this.guardedOrders.increment();
			return;
		}
		if (load && !this.loadRateLimiter.tryAcquire(this.loadsPerMinute.getAsDouble(), this.clock.millis())) {
			this.limitedOrders.increment();
			return;
		}
		long number = this.sentOrders.sum() + 1;
		EngineOrder order = new EngineOrder(this.lease.token(),
				this.ownHostId + "-" + this.lease.token() + "-" + number, desired.model(), desired.version(),
				adapters(desired), desired.role());
		this.sentOrders.increment();
		switch (this.engines.send(engine, order, this.options.orderTimeoutMs())) {
			case OrderResult.Accepted accepted -> recordPending(engine, desired);
			case OrderResult.Unknown unknown -> recordPending(engine, desired);
			case OrderResult.Refused refused ->
				Logger.warn("orders: engine {} refused order {}: {}", engine.id(), order.orderId(), refused.reason());
			case OrderResult.NotSent notSent -> Logger.info("orders: order {} to engine {} was not sent: {}",
					order.orderId(), engine.id(), notSent.reason());
			case OrderResult.Fenced old -> {
				this.fencedOrders.increment();
				this.lease.abandon("engine " + engine.id() + " has seen fencing token " + old.highestToken());
			}
		}
	}

	private void recordPending(BackendServer engine, PlacementConfig desired) {
		this.pendingOrders.put(engine.id(), new PendingOrder(desired, this.clock.millis()));
	}

	/**
	 * An order that an engine may still be executing.
	 *
	 * @param desired the ordered state
	 * @param sentAtMs time when the order was sent
	 */
	private record PendingOrder(PlacementConfig desired, long sentAtMs) {
	}

}
