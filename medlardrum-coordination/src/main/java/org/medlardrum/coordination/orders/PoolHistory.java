package org.medlardrum.coordination.orders;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.medlardrum.decisions.pool.LayerReview;
import org.medlardrum.decisions.pool.PlacementServer;
import org.medlardrum.decisions.pool.PlacementView;
import org.medlardrum.decisions.pool.ZoneChange;
import org.medlardrum.state.LayerRange;

/**
 * What the holder of the lease has seen of a pool since it acquired the lease: when
 * engines were added and removed, the orders that may still be executed, and the layers
 * of engines that may return at the same address.
 */
final class PoolHistory {

	/**
	 * Time for an engine to register its ordered layers: loading a tenth of the model,
	 * one heartbeat, and an order that the engine executes late.
	 */
	static final long SETTLE_MS = 6_000;

	/**
	 * Time after which an engine without layers that has not loaded the ordered ones is
	 * left out of the layout: two orders had time to take effect.
	 */
	private static final long GIVE_UP_MS = 2 * SETTLE_MS;

	/**
	 * Time after an accepted order before an engine without layers is asked whether it
	 * has restarted since.
	 */
	private static final long RESTART_CHECK_MS = 2_000;

	/** Time between two calls of an unresponsive engine. */
	private static final long CALL_AGAIN_MS = 1_000;

	/**
	 * Time for which the layers of an engine that holds none any more are kept for the
	 * next engine at its address. An engine that fails again and again while it loads
	 * would otherwise keep its zone from being laid out without it.
	 */
	private static final long FORMER_LAYERS_MS = 2 * GIVE_UP_MS;

	/** Time for the engine that a new engine replaces to announce that it leaves. */
	private static final long NEW_SERVER_WAIT_MS = 1_500;

	/**
	 * Silence after which a lost engine is removed from the registry. An engine that
	 * announces that it leaves has the same time to return or to be replaced, so that an
	 * upgrade of one engine after the other does not lay out the zone each time.
	 */
	private static final long SILENCE_MS = 3_600;

	private static final long NOT_ACCEPTED = -1;

	/** A time before which nothing was seen. */
	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final Map<String, Seen> seenById = new HashMap<>();

	private final Map<String, ZoneTimes> timesByZone = new HashMap<>();

	private final ZoneTimes poolTimes = new ZoneTimes();

	private final Map<String, PendingOrder> pendingById = new HashMap<>();

	private final Map<String, FormerLayers> formerByAddress = new HashMap<>();

	private boolean observed;

	/**
	 * Records the engines that are registered now.
	 * @param placement the pool and its engines
	 * @param nowMs the time
	 */
	void observe(PoolPlacement placement, long nowMs) {
		Set<String> present = new HashSet<>();
		for (PlacementServer server : placement.servers()) {
			present.add(server.id());
			if (this.seenById.putIfAbsent(server.id(), new Seen(server.availabilityZone(), nowMs)) == null) {
				recordAdded(server, times(server.availabilityZone()), nowMs);
				recordAdded(server, this.poolTimes, nowMs);
			}
			removeFinishedOrder(server, nowMs);
			Optional.ofNullable(this.pendingById.get(server.id()))
				.map(PendingOrder::layers)
				.or(server::layers)
				.ifPresent((layers) -> recordFormerLayers(server, layers, nowMs));
		}
		this.formerByAddress.values().removeIf((former) -> nowMs - former.heldAtMs >= FORMER_LAYERS_MS);
		this.seenById.entrySet().removeIf((entry) -> {
			boolean removed = !present.contains(entry.getKey());
			if (removed) {
				long removedAtMs = (placement.leaving().contains(entry.getKey())) ? nowMs + SILENCE_MS : nowMs;
				times(entry.getValue().zone).recordRemoved(removedAtMs);
				this.poolTimes.recordRemoved(removedAtMs);
				this.pendingById.remove(entry.getKey());
			}
			return removed;
		});
		this.observed = true;
	}

	private void recordFormerLayers(PlacementServer server, LayerRange layers, long nowMs) {
		FormerLayers before = this.formerByAddress.get(server.address());
		long heldAtMs = (server.layers().isPresent() || before == null) ? nowMs : before.heldAtMs;
		this.formerByAddress.put(server.address(),
				new FormerLayers(server.availabilityZone(), server.acceleratorKind().name(), layers, heldAtMs));
	}

	// At the first look, engines with layers were registered before, and others may just
	// have been removed.
	private void recordAdded(PlacementServer server, ZoneTimes times, long nowMs) {
		if (!this.observed) {
			times.recordRemoved(nowMs);
		}
		if (this.observed || server.layers().isEmpty()) {
			if (nowMs - times.addedAtMs >= LayerReview.ADDED_QUIET_MS) {
				times.firstAddedAtMs = nowMs;
			}
			times.addedAtMs = nowMs;
		}
	}

	private ZoneTimes times(String zone) {
		return this.timesByZone.computeIfAbsent(zone, (name) -> new ZoneTimes());
	}

	// Removes an order when the engine has registered its layers, or abandons it when the
	// engine has registered other layers for SETTLE_MS after the order.
	private void removeFinishedOrder(PlacementServer server, long nowMs) {
		PendingOrder order = this.pendingById.get(server.id());
		if (order != null && server.layers().isPresent() && (server.layers().get().equals(order.layers)
				|| nowMs - Math.max(order.sinceMs, order.sentAtMs) >= SETTLE_MS)) {
			this.pendingById.remove(server.id());
		}
	}

	/**
	 * Returns the engines with the layers that they hold, are ordered to hold or held
	 * before a restart at the same address.
	 * @param placement the pool and its engines
	 * @param nowMs the time
	 * @return the input of the review
	 */
	PlacementView view(PoolPlacement placement, long nowMs) {
		Map<String, LayerRange> expected = new HashMap<>();
		Set<String> unconfirmed = new HashSet<>();
		for (PlacementServer server : placement.servers()) {
			desiredLayers(server).filter((layers) -> !server.layers().equals(Optional.of(layers)))
				.ifPresent((layers) -> {
					expected.put(server.id(), layers);
					unconfirmed.add(server.id());
				});
		}
		Set<String> waiting = this.seenById.entrySet()
			.stream()
			.filter((entry) -> nowMs - entry.getValue().atMs < NEW_SERVER_WAIT_MS)
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		Map<String, ZoneChange> changes = new HashMap<>();
		this.timesByZone.forEach((zone, times) -> changes.put(zone,
				new ZoneChange(nowMs - times.addedAtMs, nowMs - times.firstAddedAtMs, nowMs - times.removedAtMs)));
		return new PlacementView(placement.servers()
			.stream()
			.filter((server) -> !isGivenUp(server.id(), nowMs))
			.map((server) -> server.withLayers(Optional.ofNullable(expected.get(server.id())).or(server::layers)))
			.toList(), unconfirmed, waiting, changes, this.poolTimes.change(nowMs));
	}

	private boolean isGivenUp(String id, long nowMs) {
		PendingOrder order = this.pendingById.get(id);
		return order != null && nowMs - order.sinceMs >= GIVE_UP_MS;
	}

	/**
	 * Returns the layers that an engine is to hold apart from new moves: those of its
	 * order, or for an engine without layers those that the engine at its address held.
	 * @param server the engine
	 * @return the layers
	 */
	Optional<LayerRange> desiredLayers(PlacementServer server) {
		PendingOrder order = this.pendingById.get(server.id());
		if (order != null) {
			return Optional.of(order.layers);
		}
		return (server.layers().isPresent()) ? Optional.empty()
				: Optional.ofNullable(this.formerByAddress.get(server.address()))
					.filter((former) -> former.kind.equals(server.acceleratorKind().name())
							&& former.zone.equals(server.availabilityZone()))
					.map(FormerLayers::layers);
	}

	/**
	 * Returns whether an order may be sent to an engine now: none was, or the last one
	 * had time to take effect.
	 * @param id identifier of the engine
	 * @param nowMs the time
	 * @return whether an order is due
	 */
	boolean isDue(String id, long nowMs) {
		PendingOrder order = this.pendingById.get(id);
		return order == null || nowMs - order.sentAtMs >= SETTLE_MS;
	}

	/**
	 * Records that an engine is to hold layers, before an order is sent. An order that is
	 * refused or not sent is sent again in the next step, so that a layout of several
	 * engines is completed.
	 * @param id identifier of the engine
	 * @param layers the layers
	 * @param nowMs the time
	 */
	void recordIntention(String id, LayerRange layers, long nowMs) {
		PendingOrder order = this.pendingById.get(id);
		if (order == null || !order.layers.equals(layers)) {
			this.pendingById.put(id, new PendingOrder(layers, nowMs, NEVER_MS, NOT_ACCEPTED, NEVER_MS));
		}
	}

	void recordOrder(String id, long nowMs) {
		recordSent(id, nowMs, NOT_ACCEPTED);
	}

	/**
	 * Records that an engine accepted an order.
	 * @param id identifier of the engine
	 * @param ordersBefore number of orders that it had accepted before
	 * @param nowMs the time
	 */
	void recordAccepted(String id, long ordersBefore, long nowMs) {
		recordSent(id, nowMs, ordersBefore);
	}

	private void recordSent(String id, long sentAtMs, long ordersBefore) {
		this.pendingById.computeIfPresent(id,
				(any, order) -> new PendingOrder(order.layers, order.sinceMs, sentAtMs, ordersBefore, sentAtMs));
	}

	/**
	 * Returns whether an engine is to be asked whether it has restarted under the same
	 * identifier since it accepted an order. Its registry entry does not show that.
	 * @param server the engine
	 * @param nowMs the time
	 * @return whether a check is due
	 */
	boolean isRestartCheckDue(PlacementServer server, long nowMs) {
		PendingOrder order = this.pendingById.get(server.id());
		return order != null && order.ordersBefore != NOT_ACCEPTED && server.layers().isEmpty()
				&& nowMs - order.checkedAtMs >= RESTART_CHECK_MS;
	}

	/**
	 * Records the report of an engine that accepted an order. If the report does not
	 * include the order, the engine has restarted and the order is sent again.
	 * @param id identifier of the engine
	 * @param report the report, empty when the engine did not respond
	 * @param nowMs the time
	 */
	void recordRestartCheck(String id, Optional<LayerReport> report, long nowMs) {
		this.pendingById.computeIfPresent(id, (any, order) -> {
			boolean lost = report.isPresent() && report.get().acceptedOrders() <= order.ordersBefore;
			return new PendingOrder(order.layers, order.sinceMs, (lost) ? NEVER_MS : order.sentAtMs,
					(lost) ? NOT_ACCEPTED : order.ordersBefore, nowMs);
		});
	}

	/**
	 * Records that an engine did not respond, so that it does not delay the orders to
	 * others in each step.
	 * @param id identifier of the engine
	 * @param nowMs the time
	 */
	void recordUnresponsive(String id, long nowMs) {
		recordOrder(id, nowMs + CALL_AGAIN_MS - SETTLE_MS);
	}

	/**
	 * Returns whether orders are outstanding that are expected to be executed.
	 * @param nowMs the time
	 * @return {@code true} if so
	 */
	boolean hasOrders(long nowMs) {
		return this.pendingById.keySet().stream().anyMatch((id) -> !isGivenUp(id, nowMs));
	}

	/**
	 * Discards the former layers of zones that are laid out again. Engines that return
	 * there are placed anew.
	 * @param zones the zones
	 */
	void discardFormerLayers(Set<String> zones) {
		this.formerByAddress.values().removeIf((former) -> zones.contains(former.zone));
	}

	private static final class ZoneTimes {

		private long addedAtMs = NEVER_MS;

		private long firstAddedAtMs = NEVER_MS;

		private long removedAtMs = NEVER_MS;

		void recordRemoved(long atMs) {
			this.removedAtMs = Math.max(this.removedAtMs, atMs);
		}

		ZoneChange change(long nowMs) {
			return new ZoneChange(nowMs - this.addedAtMs, nowMs - this.firstAddedAtMs, nowMs - this.removedAtMs);
		}

	}

	/**
	 * First sight of an engine.
	 *
	 * @param zone its availability zone
	 * @param atMs the time
	 */
	private record Seen(String zone, long atMs) {
	}

	/**
	 * An order that an engine may still be executing.
	 *
	 * @param layers the ordered layers
	 * @param sinceMs time since when the engine is to hold them
	 * @param sentAtMs time when the order was sent last
	 * @param ordersBefore number of orders that the engine had accepted before this one,
	 * {@link #NOT_ACCEPTED} if it is not known to have accepted it
	 * @param checkedAtMs time when the engine was last known to run since it accepted the
	 * order
	 */
	private record PendingOrder(LayerRange layers, long sinceMs, long sentAtMs, long ordersBefore, long checkedAtMs) {
	}

	/**
	 * Layers of the last engine at an address.
	 *
	 * @param zone availability zone of the engine
	 * @param kind kind of its accelerator; another one may have less memory
	 * @param layers the layers
	 * @param heldAtMs time at which an engine at the address last held layers, or was
	 * first ordered to
	 */
	private record FormerLayers(String zone, String kind, LayerRange layers, long heldAtMs) {
	}

}
