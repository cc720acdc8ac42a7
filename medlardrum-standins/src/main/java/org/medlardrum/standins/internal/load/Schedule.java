package org.medlardrum.standins.internal.load;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Generates Poisson arrivals over the phases of a mix. The multipliers of a phase raise
 * or lower its total rate. The same seed gives the same arrivals. Not thread-safe.
 */
final class Schedule {

	private final List<MixRoute> routes;

	private final List<Phase> phases;

	private final Random random;

	private final double totalWeight;

	private int phaseIndex;

	private double atNs;

	private double phaseEndNs;

	private long number;

	Schedule(Mix mix, long seed) {
		this.routes = mix.routes();
		this.phases = mix.phases();
		this.random = new Random(seed);
		this.totalWeight = this.routes.stream().mapToDouble(MixRoute::weight).sum();
		this.phaseEndNs = TimeUnit.MILLISECONDS.toNanos(this.phases.get(0).durationMs());
	}

	// Returns the next arrival, or null after the last phase.
	Arrival next() {
		while (this.phaseIndex < this.phases.size()) {
			Phase current = this.phases.get(this.phaseIndex);
			double weight = this.routes.stream().mapToDouble(current::weight).sum();
			double perS = current.ratePerS() * weight / this.totalWeight;
			this.atNs += (perS > 0) ? -Math.log(1 - this.random.nextDouble()) * 1e9 / perS : this.phaseEndNs;
			if (this.atNs < this.phaseEndNs) {
				return new Arrival(++this.number, (long) this.atNs, current, pickRoute(current, weight));
			}
			// A Poisson process is memoryless, so the arrival is drawn again from the
			// start of the next phase.
			this.atNs = this.phaseEndNs;
			this.phaseIndex++;
			if (this.phaseIndex < this.phases.size()) {
				this.phaseEndNs += TimeUnit.MILLISECONDS.toNanos(this.phases.get(this.phaseIndex).durationMs());
			}
		}
		return null;
	}

	private MixRoute pickRoute(Phase current, double weight) {
		double remainingWeight = this.random.nextDouble() * weight;
		for (MixRoute route : this.routes) {
			remainingWeight -= current.weight(route);
			if (remainingWeight < 0) {
				return route;
			}
		}
		return this.routes.get(this.routes.size() - 1);
	}

}
