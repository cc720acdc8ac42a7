package org.medlardrum.coordination.orders;

/**
 * State and counters of a {@link PlacementIssuer}.
 *
 * @param holder whether the own host holds the lease
 * @param moves orders sent to engines
 * @param layouts number of times that zones were laid out
 * @param incompleteZones zones that can hold a complete chain and have none, as of the
 * last step of the holder
 */
public record PlacementStats(boolean holder, long moves, long layouts, int incompleteZones) {
}
