package org.medlardrum.decisions;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Rates at which a rank's work is accepted, in total and by organisation.
 */
final class AcceptedRates {

	// Five seconds smooth single requests; with 2 s, lower ranks were accepted for waits
	// that more urgent work then prolonged.
	private static final double TIME_CONSTANT_MS = 5000;

	private static final long MINIMUM_AGE_MS = 200;

	private static final long WEIGHT_REFRESH_MS = 100;

	private static final double INACTIVE_RATIO = 0.001;

	private final ToDoubleFunction<String> weights;

	private final DecayingRate total = new DecayingRate(TIME_CONSTANT_MS);

	private final Map<String, DecayingRate> byOrganisation = new HashMap<>();

	private long firstAddedAtMs = Long.MIN_VALUE;

	private double activeWeight;

	private long weightRefreshedAtMs = Long.MIN_VALUE;

	AcceptedRates(ToDoubleFunction<String> weights) {
		this.weights = weights;
	}

	void add(Work work, long nowMs) {
		if (this.firstAddedAtMs == Long.MIN_VALUE) {
			this.firstAddedAtMs = nowMs;
		}
		this.total.add(work.cost(), nowMs);
		DecayingRate rate = this.byOrganisation.get(work.organisation());
		if (rate == null) {
			rate = new DecayingRate(TIME_CONSTANT_MS);
			this.byOrganisation.put(work.organisation(), rate);
			this.activeWeight += this.weights.applyAsDouble(work.organisation());
		}
		rate.add(work.cost(), nowMs);
	}

	double costPerS(long nowMs) {
		return this.total.costPerS(nowMs) * startCorrection(nowMs);
	}

	// An average that starts at zero is too low until it has seen a few time constants.
	// Uncorrected, lower ranks would fill their queues at the start of a flood.
	private double startCorrection(long nowMs) {
		if (this.firstAddedAtMs == Long.MIN_VALUE) {
			return 1;
		}
		double ageMs = Math.max(MINIMUM_AGE_MS, nowMs - this.firstAddedAtMs);
		return 1 / (1 - StrictMath.exp(-ageMs / TIME_CONSTANT_MS));
	}

	// Returns a lower bound of the rate at which an organisation with queued work is
	// served: its weighted share among active organisations, or what the others leave.
	double servedCostPerS(String organisation, double rankCostPerS, long nowMs) {
		refreshActiveWeight(nowMs);
		DecayingRate own = this.byOrganisation.get(organisation);
		double weight = this.weights.applyAsDouble(organisation);
		double activeWithOwn = this.activeWeight + ((own != null) ? 0 : weight);
		double othersCostPerS = this.total.costPerS(nowMs) - ((own != null) ? own.costPerS(nowMs) : 0);
		return Math.max(rankCostPerS * weight / activeWithOwn, rankCostPerS - othersCostPerS * startCorrection(nowMs));
	}

	private void refreshActiveWeight(long nowMs) {
		if (this.weightRefreshedAtMs != Long.MIN_VALUE && nowMs - this.weightRefreshedAtMs < WEIGHT_REFRESH_MS) {
			return;
		}
		this.weightRefreshedAtMs = nowMs;
		this.activeWeight = 0;
		double inactiveCostPerS = INACTIVE_RATIO * this.total.costPerS(nowMs);
		Iterator<Map.Entry<String, DecayingRate>> entries = this.byOrganisation.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<String, DecayingRate> entry = entries.next();
			if (entry.getValue().costPerS(nowMs) <= inactiveCostPerS) {
				entries.remove();
			}
			else {
				this.activeWeight += this.weights.applyAsDouble(entry.getKey());
			}
		}
	}

}
