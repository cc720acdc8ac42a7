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
 * Brings engines to their wanted state. One host at a time issues orders, by a lease in
 * the store. Orders state the wanted state, and every pass reads the engines back, so an
 * order of a former holder that arrives late is corrected within one pass.
 *
 * <p>
 * For engines that ignore the fencing token, a holder that is paused between the check of
 * its lease and the send for longer than the margin can still send one old order.
 */
public final class OrderIssuer implements AutoCloseable {

	/** Engines compared in one step, so that the lease is renewed in between. */
	private static final int ENGINES_PER_STEP = 50;

	private final EngineOrders engines;

	private final Membership membership;

	private final String ownHostId;

	private final Supplier<Map<String, PlacementConfig>> placements;

	private final DoubleSupplier loadsPerMinute;

	private final InstantSource clock;

	private final OrderOptions options;

	private final OrderLease lease;

	private final LoadLimit loads;

	private final BackgroundThread thread;

	private final Map<String, Ordered> ordered = new HashMap<>();

	private final LongAdder sent = new LongAdder();

	private final LongAdder fenced = new LongAdder();

	private final LongAdder guarded = new LongAdder();

	private final LongAdder limited = new LongAdder();

	private Iterator<BackendServer> pass = List.<BackendServer>of().iterator();

	private long passAtMs;

	private volatile long publishedToken;

	/**
	 * Creates an issuer.
	 * @param store the store
	 * @param engines the engines
	 * @param membership the hosts and servers
	 * @param ownHostId name of the own host
	 * @param placements wanted state by engine
	 * @param loadsPerMinute limit of the weight store
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
		this.loads = new LoadLimit(clock.millis());
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
	 * @return the counters
	 */
	public OrderStats stats() {
		long token = this.publishedToken;
		return new OrderStats(token != 0, token, this.sent.sum(), this.fenced.sum(), this.guarded.sum(),
				this.limited.sum());
	}

	/**
	 * Renews or acquires the lease and compares some engines. Called by the thread of
	 * this responsibility, or by a test instead of it.
	 * @return time until the next step, in milliseconds
	 */
	public long step() {
		this.lease.renew();
		if (!this.lease.isHeld()) {
			this.publishedToken = 0;
			if (!isCandidate() || !this.lease.acquire()) {
				return this.options.leaseTtlMs() / 5;
			}
			// The state left by the former holder is not known.
			this.ordered.clear();
			this.pass = List.<BackendServer>of().iterator();
			this.passAtMs = this.clock.millis();
		}
		this.publishedToken = this.lease.token();
		return comparePart();
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

	private long comparePart() {
		if (!this.pass.hasNext()) {
			long nowMs = this.clock.millis();
			if (nowMs < this.passAtMs) {
				return Math.min(this.passAtMs - nowMs, this.options.leaseTtlMs() / 5);
			}
			this.passAtMs = nowMs + this.options.reconcileMs();
			this.pass = this.membership.directory()
				.backendServers()
				.stream()
				.filter((server) -> server.kind() == BackendServerKind.ENGINE && server.state() == HostState.LIVE)
				.iterator();
		}
		Map<String, PlacementConfig> wanted = this.placements.get();
		for (int i = 0; i < ENGINES_PER_STEP && this.pass.hasNext(); i++) {
			BackendServer engine = this.pass.next();
			PlacementConfig placement = wanted.get(engine.id());
			if (placement != null) {
				compare(engine, placement);
			}
			this.lease.renew();
			if (!this.lease.isHeld()) {
				return 0;
			}
		}
		return (this.pass.hasNext()) ? 0 : Math.min(this.options.reconcileMs(), this.options.leaseTtlMs() / 5);
	}

	private void compare(BackendServer engine, PlacementConfig wanted) {
		Optional<EngineReport> report = this.engines.report(engine, this.options.orderTimeoutMs());
		if (report.isEmpty() || report.get().leaving()) {
			return;
		}
		boolean loaded = holds(report.get(), wanted);
		if (loaded && hasRole(report.get(), wanted)) {
			this.ordered.remove(engine.id());
			return;
		}
		Ordered before = this.ordered.get(engine.id());
		if (before != null && before.wanted().equals(wanted)
				&& this.clock.millis() - before.atMs() < this.options.settleMs()) {
			return;
		}
		order(engine, wanted, report.get().fencing(), !loaded);
	}

	private static boolean holds(EngineReport report, PlacementConfig wanted) {
		return wanted.model().equals(report.model())
				&& (isAny(wanted.version()) || wanted.version().equals(report.version()))
				&& new HashSet<>(report.adapters()).equals(new HashSet<>(adapters(wanted)));
	}

	private static boolean hasRole(EngineReport report, PlacementConfig wanted) {
		return isAny(wanted.role()) || wanted.role().equals(report.role());
	}

	private static boolean isAny(String text) {
		return text == null || text.isEmpty();
	}

	private static List<String> adapters(PlacementConfig wanted) {
		return (wanted.adapters() != null) ? wanted.adapters() : List.of();
	}

	private void order(BackendServer engine, PlacementConfig wanted, boolean fencing, boolean load) {
		if (!this.lease.maySend(fencing)) {
			this.guarded.increment();
			return;
		}
		if (load && !this.loads.tryTake(this.loadsPerMinute.getAsDouble(), this.clock.millis())) {
			this.limited.increment();
			return;
		}
		long number = this.sent.sum() + 1;
		EngineOrder order = new EngineOrder(this.lease.token(),
				this.ownHostId + "-" + this.lease.token() + "-" + number, wanted.model(), wanted.version(),
				adapters(wanted), wanted.role());
		this.sent.increment();
		switch (this.engines.send(engine, order, this.options.orderTimeoutMs())) {
			case OrderResult.Accepted accepted -> remember(engine, wanted);
			case OrderResult.Unknown unknown -> remember(engine, wanted);
			case OrderResult.Refused refused ->
				Logger.warn("orders: {} refused order {}: {}", engine.id(), order.orderId(), refused.reason());
			case OrderResult.NotSent notSent ->
				Logger.info("orders: order {} to {} not sent: {}", order.orderId(), engine.id(), notSent.reason());
			case OrderResult.Fenced old -> {
				this.fenced.increment();
				this.lease.drop("engine " + engine.id() + " has seen token " + old.highestToken());
			}
		}
	}

	private void remember(BackendServer engine, PlacementConfig wanted) {
		this.ordered.put(engine.id(), new Ordered(wanted, this.clock.millis()));
	}

	/**
	 * An order that an engine may still be carrying out.
	 *
	 * @param wanted the ordered state
	 * @param atMs time of the order
	 */
	private record Ordered(PlacementConfig wanted, long atMs) {
	}

}
