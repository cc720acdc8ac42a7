package org.medlardrum.decisions;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.medlardrum.state.Rank;

/**
 * Estimates how long new work would wait before it starts.
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

	// Returns the expected wait with a full window. The rank is served at least at the
	// rate of its floor, and otherwise at what more urgent ranks leave.
	long expectedWaitMs(Work work, double meanRunningCost, double costPerS, long nowMs) {
		Rank rank = work.rank();
		double floorPerS = this.floors.share(rank) * costPerS;
		double byFloorS = waitS(work, floorPerS, -this.floors.owedCost(rank), nowMs);
		double leftPerS = costPerS;
		double moreUrgent = 0;
		for (Rank other : RANKS) {
			RankQueue queue = this.queues.get(other);
			if (other.compareTo(rank) < 0) {
				leftPerS -= this.accepted.get(other).costPerS(nowMs);
				moreUrgent += queue.queuedCost();
			}
			else if (other != rank && !queue.isEmpty()) {
				leftPerS -= this.floors.share(other) * costPerS;
			}
		}
		double byUrgencyS = (leftPerS > 0) ? waitS(work, leftPerS, moreUrgent, nowMs) : Double.POSITIVE_INFINITY;
		double slotS = meanRunningCost / costPerS;
		return (long) Math.ceil(1000 * (slotS + Math.min(byFloorS, byUrgencyS)));
	}

	// Work that arrives later from other organisations overtakes an organisation's long
	// queue, so that queue also takes its cost over the organisation's own rate.
	private double waitS(Work work, double rankPerS, double otherAhead, long nowMs) {
		RankQueue queue = this.queues.get(work.rank());
		double aheadS = Math.max(0, queue.costAhead(work) + otherAhead) / rankPerS;
		double ownPerS = this.accepted.get(work.rank()).servedCostPerS(work.organisation(), rankPerS, nowMs);
		return Math.max(aheadS, queue.queuedCost(work.organisation()) / ownPerS);
	}

}
