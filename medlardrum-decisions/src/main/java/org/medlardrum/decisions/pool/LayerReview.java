package org.medlardrum.decisions.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.medlardrum.decisions.pool.PlacementView.Layout;
import org.medlardrum.decisions.pool.PlacementView.Result;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.ModelPool;

/**
 * Compares the layout in force with the best layout for the current engines and returns
 * the next moves. Loads that it addresses: engines that register over many seconds, the
 * simultaneous loss of several engines that return or do not, and zones with little more
 * memory than the weights. Demand is no input, so its swings cause no moves.
 */
public final class LayerReview {

	/** Time without a new engine after which a layout is made for the engines. */
	public static final long ADDED_QUIET_MS = 2_000;

	/** Longest wait for further engines before a layout is made. */
	static final long ADDED_MAX_WAIT_MS = 6_000;

	/** Time for a lost engine to return, after it was removed from the registry. */
	static final long RETURN_WAIT_MS = 1_000;

	/**
	 * Time without a change of a zone before its complete layout is replaced by a better
	 * one. Lost engines return or are replaced within this time.
	 */
	static final long CALM_MS = 8_000;

	/** Service of a new layout relative to the complete one that it replaces. */
	private static final double MIN_GAIN = 1.15;

	/** Time over which the service gained by moves must exceed the service lost. */
	private static final double GAIN_PERIOD_MS = 60_000;

	/** Time of an order and of the heartbeats that report its result, beside the load. */
	private static final double ORDER_MS = 3_000;

	private final ModelPool pool;

	private final ZoneLayout layouts;

	private final LayerPlanner planner;

	/**
	 * Creates a review of a pool.
	 * @param pool parameters of the pool
	 */
	public LayerReview(ModelPool pool) {
		this.pool = pool;
		this.layouts = new ZoneLayout(pool);
		this.planner = new LayerPlanner(pool);
	}

	/**
	 * Returns the next moves.
	 * @param view the engines and their last changes
	 * @return the moves
	 */
	public Result review(PlacementView view) {
		List<Group> groups = this.planner.groups(view.servers())
			.stream()
			.map((servers) -> new Group(servers, view))
			.toList();
		int incomplete = (int) groups.stream().filter((group) -> group.isZone() && group.heldHasGap).count();
		boolean hasGap = groups.stream().anyMatch((group) -> group.viable && group.heldHasGap);
		if (view.servers().stream().allMatch((server) -> server.layers().isEmpty())) {
			return firstPlacement(view, incomplete);
		}
		boolean anyComplete = groups.stream().anyMatch((group) -> group.viable && !group.heldHasGap);
		Map<String, LayerRange> moves = new LinkedHashMap<>();
		List<Proposal> proposals = new ArrayList<>();
		for (Group group : groups) {
			Optional<Proposal> proposal = propose(group, anyComplete);
			proposal.ifPresent(proposals::add);
			if (proposal.isEmpty()) {
				moves.putAll(safeMoves(group, view));
			}
		}
		List<Layout> chosen = choose(proposals, groups, view);
		chosen.forEach((layout) -> moves.putAll(layout.moves()));
		return new Result(moves, chosen, incomplete, hasGap);
	}

	private Result firstPlacement(PlacementView view, int incomplete) {
		if (view.servers().isEmpty() || isGrowing(view.poolChange())) {
			return new Result(Map.of(), List.of(), incomplete, !view.servers().isEmpty());
		}
		Map<String, LayerRange> plan = this.planner.plan(view.servers());
		LayoutCapacity capacity = capacity(view.servers(), plan);
		Layout layout = new Layout(zones(view.servers()), "first placement", plan, capacity.requests(), capacity);
		return new Result(plan, (plan.isEmpty()) ? List.of() : List.of(layout), incomplete, true);
	}

	private static boolean isGrowing(ZoneChange change) {
		return change.sinceAddedMs() < ADDED_QUIET_MS && change.sinceFirstAddedMs() < ADDED_MAX_WAIT_MS;
	}

	// A new layout of a group whose layers are incomplete or worse than they could be.
	private Optional<Proposal> propose(Group group, boolean anyComplete) {
		// Layers that are only ordered may never be loaded, so no engine that holds
		// layers
		// is moved while others of its group load.
		if (!group.viable || !group.unconfirmed.isEmpty()) {
			return Optional.empty();
		}
		if (!group.hasGap) {
			return (group.isZone()) ? improvement(group) : Optional.empty();
		}
		Set<String> emptyIds = group.empty.stream().map(PlacementServer::id).collect(Collectors.toSet());
		// A layout that a former issuer began for engines without layers is completed, so
		// that it ends the same.
		Map<String, LayerRange> begun = ZoneLayout.changes(group.servers, this.layouts.layout(group.servers));
		boolean forming = group.empty.size() * 2 > group.servers.size();
		boolean complete = forming || emptyIds.containsAll(begun.keySet());
		if (!complete && !hasGapWith(group, safeGapMoves(group, group.servers))) {
			return Optional.empty();
		}
		Map<String, LayerRange> moves = (complete) ? begun : this.layouts.rearrange(group.servers);
		LayoutCapacity capacity = capacity(group.servers, moves);
		Proposal proposal = new Proposal(group,
				new Layout(zones(group.servers), "no complete chain", moves, capacity.requests(), capacity),
				capacity.requests());
		if (!forming && emptyIds.containsAll(moves.keySet())) {
			return Optional.of(proposal);
		}
		// Zones that share a chain are laid out late while another zone serves: engines
		// that are added next may let one of them hold a chain of its own.
		long returnWaitMs = (group.isZone() || !anyComplete) ? RETURN_WAIT_MS : CALM_MS;
		boolean early = isGrowing(group.change) || group.change.sinceRemovedMs() < returnWaitMs;
		return Optional.of((early) ? new Proposal(group, null, 0) : proposal);
	}

	private boolean hasGapWith(Group group, Map<String, LayerRange> moves) {
		return LayerCoverage.of(this.pool, LayerCoverage.withLayers(group.servers, moves)).hasGap();
	}

	private Optional<Proposal> improvement(Group group) {
		if (!group.empty.isEmpty() || Math.min(group.change.sinceAddedMs(), group.change.sinceRemovedMs()) < CALM_MS) {
			return Optional.empty();
		}
		double before = LayerCoverage.of(this.pool, group.servers).requests();
		Map<String, LayerRange> best = Map.of();
		double bestAfter = before;
		double bestService = before * GAIN_PERIOD_MS;
		Map<String, LayerRange> all = ZoneLayout.changes(group.servers, this.layouts.layout(group.servers));
		for (Map<String, LayerRange> moves : List.of(this.layouts.restoreChain(group.servers), all)) {
			double after = LayerCoverage.of(this.pool, LayerCoverage.withLayers(group.servers, moves)).requests();
			double during = LayerCoverage
				.of(this.pool, group.servers.stream().filter((server) -> !moves.containsKey(server.id())).toList())
				.requests();
			double durationMs = ORDER_MS + loadMs(group.servers, moves);
			double service = during * durationMs + after * (GAIN_PERIOD_MS - durationMs);
			if (after >= MIN_GAIN * before && service > bestService) {
				best = moves;
				bestAfter = after;
				bestService = service;
			}
		}
		Layout layout = new Layout(zones(group.servers), "more service", best, bestAfter - before,
				capacity(group.servers, best));
		return (best.isEmpty()) ? Optional.empty() : Optional.of(new Proposal(group, layout, bestAfter - before));
	}

	private LayoutCapacity capacity(Collection<PlacementServer> servers, Map<String, LayerRange> moves) {
		return LayerCoverage.of(this.pool, LayerCoverage.withLayers(servers, moves)).capacity();
	}

	private double loadMs(Collection<PlacementServer> servers, Map<String, LayerRange> moves) {
		int most = servers.stream()
			.filter((server) -> moves.containsKey(server.id()))
			.mapToInt((server) -> ZoneLayout.loadedLayers(server, moves.get(server.id())))
			.max()
			.orElse(0);
		return this.pool.loadMs() * most / this.pool.layers();
	}

	// Moves that take no layer away from a chain.
	private Map<String, LayerRange> safeMoves(Group group, PlacementView view) {
		if (group.hasGap) {
			return (group.viable || !isGrowing(group.change)) ? safeGapMoves(group, view.servers()) : Map.of();
		}
		List<PlacementServer> ready = group.servers.stream()
			.filter((server) -> !view.waiting().contains(server.id()))
			.toList();
		return this.planner.additions(ready, view.servers());
	}

	private Map<String, LayerRange> safeGapMoves(Group group, Collection<PlacementServer> all) {
		Map<String, LayerRange> additions = this.planner.additions(group.servers, all);
		return (additions.isEmpty() && group.unconfirmed.isEmpty())
				? this.planner.redundantMove(group.servers, group.holding, all) : additions;
	}

	// Zones without a chain are laid out together, because no complete chain of a zone
	// loses a layer by that. Only if a chain through several zones is all that serves,
	// the zone that gains most is laid out first. Complete zones follow one at a time.
	private List<Layout> choose(List<Proposal> proposals, List<Group> groups, PlacementView view) {
		List<Proposal> due = proposals.stream()
			.filter((proposal) -> proposal.layout != null && !proposal.layout.moves().isEmpty())
			.sorted(Comparator.comparing((Proposal proposal) -> !proposal.group.hasGap)
				.thenComparing((proposal) -> !proposal.group.isZone())
				.thenComparing((proposal) -> -proposal.gainRequests))
			.toList();
		List<Layout> missing = due.stream().filter((proposal) -> proposal.group.hasGap).map(Proposal::layout).toList();
		if (missing.isEmpty()) {
			boolean allComplete = groups.stream().noneMatch((group) -> group.viable && group.heldHasGap);
			return (allComplete) ? due.stream().limit(1).map(Proposal::layout).toList() : List.of();
		}
		boolean ownChain = groups.stream().anyMatch((group) -> group.isZone() && !group.heldHasGap);
		List<PlacementServer> holding = view.servers()
			.stream()
			.filter((server) -> !view.unconfirmed().contains(server.id()))
			.toList();
		boolean sharedChain = !ownChain && !LayerCoverage.of(this.pool, holding).hasGap();
		return (sharedChain) ? missing.subList(0, 1) : missing;
	}

	private static Set<String> zones(Collection<PlacementServer> servers) {
		Set<String> zones = new TreeSet<>();
		servers.forEach((server) -> zones.add(server.availabilityZone()));
		return zones;
	}

	/**
	 * A new layout of a group.
	 *
	 * @param group the group
	 * @param layout the layout, {@code null} while the group waits for its engines
	 * @param gainRequests additional typical requests that the group can run at once
	 */
	private record Proposal(Group group, Layout layout, double gainRequests) {
	}

	/**
	 * Engines that form chains together.
	 */
	private final class Group {

		private final List<PlacementServer> servers;

		private final List<PlacementServer> empty;

		private final List<PlacementServer> unconfirmed;

		private final List<PlacementServer> holding;

		private final ZoneChange change;

		private final boolean viable;

		private final boolean hasGap;

		private final boolean heldHasGap;

		Group(List<PlacementServer> servers, PlacementView view) {
			this.servers = servers;
			this.empty = servers.stream().filter((server) -> server.layers().isEmpty()).toList();
			this.unconfirmed = servers.stream().filter((server) -> view.unconfirmed().contains(server.id())).toList();
			this.holding = servers.stream()
				.filter((server) -> server.layers().isPresent() && !view.unconfirmed().contains(server.id()))
				.toList();
			Set<String> zones = zones(servers);
			this.change = (zones.size() == 1) ? view.changes().getOrDefault(zones.iterator().next(), ZoneChange.NONE)
					: view.poolChange();
			this.viable = LayerReview.this.layouts.isViable(servers);
			this.hasGap = LayerCoverage.of(LayerReview.this.pool, servers).hasGap();
			this.heldHasGap = LayerCoverage.of(LayerReview.this.pool, this.holding).hasGap();
		}

		// Whether the engines of one zone can hold a complete chain.
		boolean isZone() {
			return this.viable && zones(this.servers).size() == 1;
		}

	}

}
