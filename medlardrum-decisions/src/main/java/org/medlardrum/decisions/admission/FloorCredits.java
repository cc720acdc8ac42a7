package org.medlardrum.decisions.admission;

import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks the work that each rank is owed by its floor. A rank with recent demand earns
 * its floor share of all work that other ranks start. It is due when it has earned a
 * whole request: at a host that starts few requests, a comparison of shares would give a
 * less urgent rank far more than its floor.
 */
final class FloorCredits {

	// A credit larger than this would let a rank that could not use its turns, for
	// example because its requests expired, block the more urgent ranks later.
	private static final double MAX_REQUESTS = 4;

	// Weight of the newest request in the mean work of a rank.
	private static final double MEAN_WEIGHT = 0.1;

	private final double floorShare;

	private final Map<Integer, Credit> credits = new TreeMap<>();

	FloorCredits(double floorShare) {
		this.floorShare = floorShare;
	}

	FloorCredits copy() {
		FloorCredits copy = new FloorCredits(this.floorShare);
		this.credits.forEach((rank, credit) -> copy.credits.put(rank, credit.copy()));
		return copy;
	}

	// Records that a request of the rank arrived or waits.
	void demand(int rank, double work, long nowMs) {
		Credit credit = this.credits.computeIfAbsent(rank, (key) -> new Credit());
		credit.meanWork += (credit.meanWork == 0) ? work : MEAN_WEIGHT * (work - credit.meanWork);
		credit.demandAtMs = nowMs;
	}

	void started(int rank, double work, long nowMs) {
		double share = Math.min(this.floorShare, 1.0 / Math.max(1, this.credits.size()));
		this.credits.forEach((other, credit) -> {
			if (other == rank) {
				// A rank that is served beyond its floor because it is the most urgent
				// one goes below zero by at most one request, so that it is not starved
				// later.
				double charged = credit.work - (1 - share) * work;
				credit.work = Math.max(charged, Math.min(credit.work, -work));
			}
			else if (nowMs - credit.demandAtMs <= WorkWindow.WINDOW_MS) {
				credit.work = Math.min(credit.work + share * work, MAX_REQUESTS * credit.meanWork);
			}
			else {
				credit.work = Math.min(0, credit.work);
			}
		});
	}

	boolean isDue(int rank, double work) {
		Credit credit = this.credits.get(rank);
		return credit != null && credit.work >= Math.min(work, MAX_REQUESTS * credit.meanWork);
	}

	boolean isDue(int rank) {
		Credit credit = this.credits.get(rank);
		return credit != null && credit.meanWork > 0 && credit.work >= credit.meanWork;
	}

	double credit(int rank) {
		Credit credit = this.credits.get(rank);
		return (credit != null) ? credit.work : 0;
	}

	private static final class Credit {

		private double work;

		private double meanWork;

		private long demandAtMs;

		private Credit copy() {
			Credit copy = new Credit();
			copy.work = this.work;
			copy.meanWork = this.meanWork;
			copy.demandAtMs = this.demandAtMs;
			return copy;
		}

	}

}
