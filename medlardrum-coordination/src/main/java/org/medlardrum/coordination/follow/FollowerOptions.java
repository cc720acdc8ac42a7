package org.medlardrum.coordination.follow;

/**
 * Settings of {@link StoreFollower}.
 *
 * @param waitMs longest wait of one call for changes
 * @param batchDelayMs time between an answer with changes and the next call, so that a
 * burst of changes costs few calls
 * @param confirmMs time between two confirmations
 * @param catchUpMs time in which the call for changes brings a change that a confirmation
 * found; after it everything is read
 * @param holdRemovalsMs time after the store's return in which lapsed entries come back
 */
public record FollowerOptions(long waitMs, long batchDelayMs, long confirmMs, long catchUpMs, long holdRemovalsMs) {
}
