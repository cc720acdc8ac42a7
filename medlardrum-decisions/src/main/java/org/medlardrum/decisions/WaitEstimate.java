package org.medlardrum.decisions;

import java.util.EnumMap;
import java.util.Map;

import org.medlardrum.state.Rank;

/**
 * Estimates how long new work would wait before it starts.
 */
final class WaitEstimate {

	private static final Rank[] RANKS = Rank.values();

	// Two seconds are long enough to smooth single requests and short enough to follow
	// the start of a flood.
	private static final double ACCEPTED_RATE_MS = 2000;

	private static final long MINIMUM_RETRY_AFTER_MS = 100;

	private final Map<Rank, RankQueue> queues;

	private final RankFloors floors;

	private final Map<Rank, DecayingRate> accepted = new EnumMap<>(Rank.class);

	WaitEstimate(Map<Rank, RankQueue> queues, RankFloors floors) {
		this.queues = queues;
		this.floors = floors;
		for (Rank rank : RANKS) {
			this.accepted.put(rank, new DecayingRate(ACCEPTED_RATE_MS));
		}
	}

	static long retryAfterMs(long waitMs, long limitMs) {
		return Math.max(MINIMUM_RETRY_AFTER_MS, waitMs - limitMs);
	}

	void accepted(Work work, long nowMs) {
		this.accepted.get(work.rank()).add(work.cost(), nowMs);
	}

	// Returns the expected wait with a full window. The rank is served at least at the
	// rate of its floor, and otherwise at what more urgent ranks leave.
	long expectedWaitMs(Work work, double meanRunningCost, double costPerS, long nowMs) {
		Rank rank = work.rank();
		double ahead = this.queues.get(rank).costAhead(work);
		double byFloorS = Math.max(0, ahead - this.floors.owedCost(rank)) / (this.floors.share(rank) * costPerS);
		double leftPerS = costPerS;
		double queuedBefore = ahead;
		for (Rank other : RANKS) {
			RankQueue queue = this.queues.get(other);
			if (other.compareTo(rank) < 0) {
				leftPerS -= this.accepted.get(other).costPerS(nowMs);
				queuedBefore += queue.queuedCost();
			}
			else if (other != rank && !queue.isEmpty()) {
				leftPerS -= this.floors.share(other) * costPerS;
			}
		}
		double byUrgencyS = (leftPerS > 0) ? queuedBefore / leftPerS : Double.POSITIVE_INFINITY;
		double slotS = meanRunningCost / costPerS;
		return (long) Math.ceil(1000 * (slotS + Math.min(byFloorS, byUrgencyS)));
	}

}
