package org.medlardrum.decisions;

/**
 * Limits of one rank in a pool.
 *
 * @param floorShare fraction of the pool's capacity that the rank is guaranteed during a
 * flood of requests of another rank, 0 to 1
 * @param maxQueueMs longest expected wait at which work is accepted, in milliseconds
 */
public record RankLimits(double floorShare, long maxQueueMs) {

	public RankLimits {
		if (!(floorShare >= 0 && floorShare <= 1)) {
			throw new IllegalArgumentException("Floor share " + floorShare + " is not between 0 and 1");
		}
	}

}
