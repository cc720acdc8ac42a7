package org.medlardrum.decisions;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Decaying averages of the cost per second that a rank accepts, in total and by
 * organisation.
 */
final class AcceptedRates {

	// 5 s smooths single requests. At 2 s, work of lower ranks was accepted with wait
	// estimates that more urgent work then exceeded.
	private static final double TIME_CONSTANT_MS = 5000;

	// Limits the start correction to a factor of about 25.
	private static final long MINIMUM_AGE_MS = 200;

	private static final long WEIGHT_REFRESH_MS = 100;

	// An organisation whose accepted rate is not above this fraction of the rank's rate
	// is inactive.
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

	// Corrects the bias of an average that starts at zero, which is too low for the first
	// few time constants. Without it, lower ranks would fill their queues at the start of
	// a flood of requests.
	private double startCorrection(long nowMs) {
		if (this.firstAddedAtMs == Long.MIN_VALUE) {
			return 1;
		}
		double ageMs = Math.max(MINIMUM_AGE_MS, nowMs - this.firstAddedAtMs);
		return 1 / (1 - StrictMath.exp(-ageMs / TIME_CONSTANT_MS));
	}

	// Returns a lower bound of the rate at which an organisation with queued work is
	// served: its weighted share among the active organisations or the rate that the
	// others leave unused, whichever is higher.
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
