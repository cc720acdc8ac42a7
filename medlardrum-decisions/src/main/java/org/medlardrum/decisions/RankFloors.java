package org.medlardrum.decisions;

import java.util.Map;

import org.medlardrum.state.Rank;

/**
 * Tracks how far each rank is below the floor that it is guaranteed, as a deficit of
 * cost. While a rank has queued work, its deficit grows by its floor share of all cost
 * that starts; it shrinks by the rank's own cost while another rank has queued work.
 */
final class RankFloors {

	// Accepted work is never dropped, so a rank without a floor must still make progress
	// during an unlimited flood of requests of a more urgent rank.
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

	// Returns the rank to serve next: the one with the largest deficit relative to its
	// floor, or the most urgent one if no rank has a deficit.
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

	// Records the start of a work item and updates the deficits of all ranks.
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

	// Reduces the deficit of a rank by a cost. Cost while no other rank has queued work
	// is not charged. A rank that is served beyond its floor because it is the most
	// urgent one goes below zero by at most one work item, so that it is not starved
	// later.
	void charge(Rank charged, double cost, Map<Rank, RankQueue> queues) {
		for (Rank rank : RANKS) {
			if (rank != charged && !queues.get(rank).isEmpty()) {
				double deficit = deficitCost(charged);
				this.deficitCost[charged.ordinal()] = Math.max(deficit - cost, Math.min(deficit, -Math.abs(cost)));
				return;
			}
		}
	}

	// Clears the deficit of a rank whose queue is empty; a floor does not accumulate
	// without demand.
	void clearDeficit(Rank rank) {
		this.deficitCost[rank.ordinal()] = Math.min(0, deficitCost(rank));
	}

}
