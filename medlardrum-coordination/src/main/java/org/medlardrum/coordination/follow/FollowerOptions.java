package org.medlardrum.coordination.follow;

/**
 * Settings of {@link StoreFollower}.
 *
 * @param waitMs longest wait of one call; a longer one costs fewer calls but confirms the
 * copy later
 * @param pauseMs time between an answer with changes and the next call, so that a burst
 * of changes costs few calls
 * @param returnMs time after the store's return in which lapsed entries come back
 */
public record FollowerOptions(long waitMs, long pauseMs, long returnMs) {
}
