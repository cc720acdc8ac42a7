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

	private final double[] owedCost = new double[RANKS.length];

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

	double owedCost(Rank rank) {
		return this.owedCost[rank.ordinal()];
	}

	// Returns the rank to serve next: the one that is furthest below its floor, else the
	// most urgent.
	Rank next(Map<Rank, RankQueue> queues) {
		Rank mostUrgent = null;
		Rank furthestBelow = null;
		for (Rank rank : RANKS) {
			if (queues.get(rank).isEmpty()) {
				continue;
			}
			mostUrgent = (mostUrgent != null) ? mostUrgent : rank;
			if (owedCost(rank) > 0 && (furthestBelow == null || debtAge(rank) > debtAge(furthestBelow))) {
				furthestBelow = rank;
			}
		}
		return (furthestBelow != null) ? furthestBelow : mostUrgent;
	}

	private double debtAge(Rank rank) {
		return owedCost(rank) / share(rank);
	}

	// Records the start of work.
	void started(Rank started, double cost, Map<Rank, RankQueue> queues) {
		for (Rank rank : RANKS) {
			if (rank != started && !queues.get(rank).isEmpty()) {
				this.owedCost[rank.ordinal()] += share(rank) * cost;
			}
		}
		charge(started, cost * (1 - share(started)), queues);
		if (queues.get(started).isEmpty()) {
			forgive(started);
		}
	}

	// Charges a rank. What a rank takes while nobody else waits is free, and what it
	// takes beyond its floor by being the most urgent is limited to one piece of work, so
	// that it is not shut out later.
	void charge(Rank charged, double cost, Map<Rank, RankQueue> queues) {
		for (Rank rank : RANKS) {
			if (rank != charged && !queues.get(rank).isEmpty()) {
				double owed = owedCost(charged);
				this.owedCost[charged.ordinal()] = Math.max(owed - cost, Math.min(owed, -Math.abs(cost)));
				return;
			}
		}
	}

	// Forgets what an empty queue was owed; a floor does not accumulate without demand.
	void forgive(Rank rank) {
		this.owedCost[rank.ordinal()] = Math.min(0, owedCost(rank));
	}

}
