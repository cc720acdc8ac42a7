package org.medlardrum.decisions;

import java.util.Map;

import org.medlardrum.state.Rank;

/**
 * Tracks how much cost each rank is owed by its floor. A rank earns its floor's share of
 * all cost that starts while it has queued work, and pays for its own cost while another
 * rank waits.
 */
final class RankFloors {

	// Accepted work is never dropped, so a rank without a floor still has to progress
	// during an endless flood of a more urgent rank.
	private static final double MINIMUM_SHARE = 0.01;

	private static final Rank[] RANKS = Rank.values();

	private final double[] shares = new double[RANKS.length];

	private final double[] deficitCost = new double[RANKS.length];

	void update(AdmissionLimits limits) {
		double sum = 0;
		for (Rank rank : RANKS) {
			this.shares[rank.ordinal()] = Math.max(MINIMUM_SHARE, limits.rank(rank).floorShare());
			sum += this.shares[rank.ordinal()];
		}
		for (int i = 0; sum > 1 && i < RANKS.length; i++) {
			this.shares[i] /= sum;
		}
	}

	double share(Rank rank) {
		return this.shares[rank.ordinal()];
	}

	double deficitCost(Rank rank) {
		return this.deficitCost[rank.ordinal()];
	}

	// Returns the rank to serve next: the one that is furthest below its floor, else the
	// most urgent.
	Rank next(Map<Rank, RankQueue> queues) {
		Rank mostUrgent = null;
		Rank mostBehind = null;
		for (Rank rank : RANKS) {
			if (queues.get(rank).isEmpty()) {
				continue;
			}
			mostUrgent = (mostUrgent != null) ? mostUrgent : rank;
			if (deficitCost(rank) > 0 && (mostBehind == null || relativeDeficit(rank) > relativeDeficit(mostBehind))) {
				mostBehind = rank;
			}
		}
		return (mostBehind != null) ? mostBehind : mostUrgent;
	}

	private double relativeDeficit(Rank rank) {
		return deficitCost(rank) / share(rank);
	}

	// Records the start of work.
	void started(Rank started, double cost, Map<Rank, RankQueue> queues) {
		for (Rank rank : RANKS) {
			if (rank != started && !queues.get(rank).isEmpty()) {
				this.deficitCost[rank.ordinal()] += share(rank) * cost;
			}
		}
		charge(started, cost * (1 - share(started)), queues);
		if (queues.get(started).isEmpty()) {
			clearDeficit(started);
		}
	}

	// Charges a rank. What a rank takes while nobody else waits is free, and what it
	// takes beyond its floor by being the most urgent is limited to one piece of work, so
	// that it is not shut out later.
	void charge(Rank charged, double cost, Map<Rank, RankQueue> queues) {
		for (Rank rank : RANKS) {
			if (rank != charged && !queues.get(rank).isEmpty()) {
				double deficit = deficitCost(charged);
				this.deficitCost[charged.ordinal()] = Math.max(deficit - cost, Math.min(deficit, -Math.abs(cost)));
				return;
			}
		}
	}

	// Forgets what an empty queue was owed; a floor does not accumulate without demand.
	void clearDeficit(Rank rank) {
		this.deficitCost[rank.ordinal()] = Math.min(0, deficitCost(rank));
	}

}
