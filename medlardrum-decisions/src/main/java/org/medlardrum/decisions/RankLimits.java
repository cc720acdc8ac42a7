package org.medlardrum.decisions;

/**
 * Limits of one rank in a pool.
 *
 * @param floorShare share of the pool's work that the rank keeps during a flood of
 * another rank, 0 to 1
 * @param maxQueueMs longest expected wait at which work is still accepted, in
 * milliseconds
 */
public record RankLimits(double floorShare, long maxQueueMs) {

	public RankLimits {
		if (!(floorShare >= 0 && floorShare <= 1)) {
			throw new IllegalArgumentException("Floor share " + floorShare + " is not between 0 and 1");
		}
	}

}
