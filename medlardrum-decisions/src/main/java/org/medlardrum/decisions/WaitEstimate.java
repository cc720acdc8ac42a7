package org.medlardrum.decisions;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.medlardrum.state.Rank;

/**
 * Estimates how long new work would wait in the queue before it starts.
 */
final class WaitEstimate {

	private static final Rank[] RANKS = Rank.values();

	private static final long MINIMUM_RETRY_AFTER_MS = 100;

	private final Map<Rank, RankQueue> queues;

	private final RankFloors floors;

	private final Map<Rank, AcceptedRates> accepted = new EnumMap<>(Rank.class);

	WaitEstimate(Map<Rank, RankQueue> queues, RankFloors floors, ToDoubleFunction<String> weights) {
		this.queues = queues;
		this.floors = floors;
		for (Rank rank : RANKS) {
			this.accepted.put(rank, new AcceptedRates(weights));
		}
	}

	static long retryAfterMs(long waitMs, long limitMs) {
		return Math.max(MINIMUM_RETRY_AFTER_MS, waitMs - limitMs);
	}

	void accepted(Work work, long nowMs) {
		this.accepted.get(work.rank()).add(work, nowMs);
	}

	// Returns the expected wait while the concurrency window is full: the shorter of
	// the waits when the rank is served at the rate of its floor, and when it is served
	// at the rate that more urgent ranks and the floors of less urgent ones leave.
	long expectedWaitMs(Work work, double meanRunningCost, double costPerS, long nowMs) {
		Rank rank = work.rank();
		double floorCostPerS = this.floors.share(rank) * costPerS;
		double waitByFloorS = waitS(work, floorCostPerS, -this.floors.deficitCost(rank), nowMs);
		double remainingCostPerS = costPerS;
		double moreUrgentCost = 0;
		for (Rank other : RANKS) {
			RankQueue queue = this.queues.get(other);
			if (other.compareTo(rank) < 0) {
				remainingCostPerS -= this.accepted.get(other).costPerS(nowMs);
				moreUrgentCost += queue.queuedCost();
			}
			else if (other != rank && !queue.isEmpty()) {
				remainingCostPerS -= this.floors.share(other) * costPerS;
			}
		}
		double waitByUrgencyS = (remainingCostPerS > 0) ? waitS(work, remainingCostPerS, moreUrgentCost, nowMs)
				: Double.POSITIVE_INFINITY;
		double slotWaitS = meanRunningCost / costPerS;
		return (long) Math.ceil(1000 * (slotWaitS + Math.min(waitByFloorS, waitByUrgencyS)));
	}

	// Work that arrives later from other organisations overtakes an organisation's long
	// queue, so the wait is at least the cost of that queue divided by the organisation's
	// own rate.
	private double waitS(Work work, double rankCostPerS, double otherCostAhead, long nowMs) {
		RankQueue queue = this.queues.get(work.rank());
		double waitForOthersS = Math.max(0, queue.costAhead(work) + otherCostAhead) / rankCostPerS;
		double ownCostPerS = this.accepted.get(work.rank()).servedCostPerS(work.organisation(), rankCostPerS, nowMs);
		return Math.max(waitForOthersS, queue.queuedCost(work.organisation()) / ownCostPerS);
	}

}
