package org.medlardrum.decisions.pool;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.medlardrum.state.LayerRange;

/**
 * Input of a {@link LayerReview}.
 *
 * @param servers engines that take requests, with the layers that they hold or are
 * ordered to hold
 * @param unconfirmed identifiers of engines that do not hold the layers that they are
 * listed with yet
 * @param waiting identifiers of engines without layers that may replace an engine that is
 * about to leave; they receive layers only where some are missing
 * @param changes last changes of each availability zone
 * @param poolChange last changes of all zones together
 */
public record PlacementView(List<PlacementServer> servers, Set<String> unconfirmed, Set<String> waiting,
		Map<String, ZoneChange> changes, ZoneChange poolChange) {

	public PlacementView {
		servers = List.copyOf(servers);
	}

	/**
	 * Result of a review.
	 *
	 * @param moves new layers by identifier of the engine
	 * @param layouts zones that are laid out, for the log
	 * @param incompleteZones number of zones that can hold a complete chain and have none
	 * @param hasGap whether engines that can hold a complete chain together have none
	 */
	public record Result(Map<String, LayerRange> moves, List<Layout> layouts, int incompleteZones, boolean hasGap) {
	}

	/**
	 * A zone that is laid out.
	 *
	 * @param zones the zone, or the zones that form a chain together
	 * @param reason why it is laid out
	 * @param moves new layers by identifier of the engine
	 * @param gainRequests additional typical requests that the zone can run at once
	 * @param capacity what the zone can run at once after the moves
	 */
	public record Layout(Set<String> zones, String reason, Map<String, LayerRange> moves, double gainRequests,
			LayoutCapacity capacity) {
	}

}
