package org.medlardrum.decisions.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;

import org.medlardrum.decisions.admission.AdmissionReplay.Caller;

/**
 * Callers and capacity of an {@link AdmissionReplay}. One unit of work is a typical
 * stream of 5.5 s; the pool holds 200 of them.
 *
 * @param hosts number of entry hosts
 * @param callers the callers
 * @param capacityWork capacity of the pool at a time
 * @param viewAgeMs age of what a host knows of the load of the others
 * @param durationMs time in which callers arrive
 * @param timeoutMs time after which a caller gives up
 */
record ReplayLoad(int hosts, List<Caller> callers, LongToDoubleFunction capacityWork, int viewAgeMs, long durationMs,
		long timeoutMs) {

	private static final int CAPACITY = 200;

	private static final long STREAM_MS = 5500;

	private static final double STREAMS_PER_S = 1000.0 * CAPACITY / STREAM_MS;

	// A surge of rank 2, then of rank 0, while 4% of the engines are lost and the rest of
	// a partitioned zone cannot be reached: 20% of the capacity for 10 s.
	static ReplayLoad surges(long seed, int viewAgeMs) {
		Builder builder = new Builder(seed, 20, 40_000);
		for (int i = 0; i < 4; i++) {
			builder.add(0, "o" + i, 0.3 / 4, 0.3, (nowMs) -> (nowMs >= 16_000 && nowMs < 21_000) ? 1.8 : 1);
			builder.add(1, "o" + i, 0.3 / 4, 0.3, (nowMs) -> 1);
			builder.add(2, "o" + i, 0.35 / 4, 0.3, (nowMs) -> (nowMs >= 10_000 && nowMs < 16_000) ? 2.2 : 1);
		}
		return builder.build((nowMs) -> CAPACITY * ((nowMs >= 14_000 && nowMs < 24_000) ? 0.8 : 1), viewAgeMs, 20_000);
	}

	// One organisation sends 50 times as much as each of nine others, together 1.8 times
	// the capacity.
	static ReplayLoad oneLargeOrganisation(long seed) {
		Builder builder = new Builder(seed, 20, 30_000);
		for (int i = 0; i < 10; i++) {
			builder.add(1, "o" + i, 1.8 * ((i == 0) ? 50 : 1) / 59, 0.3, (nowMs) -> 1);
		}
		return builder.build((nowMs) -> CAPACITY, 0, 20_000);
	}

	// 30% of the callers retry immediately, three times, at 1.5 times the capacity.
	static ReplayLoad immediateRetries(long seed) {
		Builder builder = new Builder(seed, 20, 30_000);
		return builder.add(1, "o0", 1.5, 0.3, (nowMs) -> 1).build((nowMs) -> CAPACITY, 0, 20_000);
	}

	// One unit becomes free every 100 ms; per unit two callers of rank 2 arrive, then one
	// of rank 1 and one of rank 0.
	static ReplayLoad oneUnitAtATime() {
		List<Caller> callers = new ArrayList<>();
		for (int i = 0; i < 1200; i++) {
			int rank = new int[] { 2, 2, 1, 0 }[i % 4];
			callers.add(new Caller(i, 0, rank, "o", 1, 4000, 25L * i + 10, 350, 0));
		}
		return new ReplayLoad(1, callers, (nowMs) -> 40, 0, 30_000, 400);
	}

	// A long queue at one host, without later returns: 1.6 times the capacity, five
	// organisations of which one sends ten times as much.
	static ReplayLoad longQueue(long seed) {
		Builder builder = new Builder(seed, 1, 30_000);
		for (int i = 0; i < 5; i++) {
			double share = 1.6 * ((i == 0) ? 10 : 1) / 14;
			builder.add(0, "o" + i, 0.2 * share, 0, (nowMs) -> 1);
			builder.add(1, "o" + i, 0.5 * share, 0, (nowMs) -> 1);
			builder.add(2, "o" + i, 0.3 * share, 0, (nowMs) -> 1);
		}
		return builder.build((nowMs) -> CAPACITY, 0, 300);
	}

	/**
	 * Draws the callers of a load.
	 */
	private static final class Builder {

		private final SplittableRandom random;

		private final int hosts;

		private final long durationMs;

		private final List<Caller> callers = new ArrayList<>();

		private Builder(long seed, int hosts, long durationMs) {
			this.random = new SplittableRandom(seed);
			this.hosts = hosts;
			this.durationMs = durationMs;
		}

		// Adds Poisson arrivals with a share of the pool's capacity times a factor.
		private Builder add(int rank, String organisation, double share, double immediateRetryShare,
				LongToDoubleFunction factor) {
			double nowMs = 0;
			while (nowMs < this.durationMs) {
				double perS = STREAMS_PER_S * share * factor.applyAsDouble((long) nowMs);
				nowMs -= 1000 * Math.log(1 - this.random.nextDouble()) / perS;
				int immediateRetries = (this.random.nextDouble() < immediateRetryShare) ? 3 : 0;
				// Log-normal with mean 1, cut to the range of typical prompts.
				double work = Math.clamp(Math.exp(0.6 * this.random.nextGaussian() - 0.18), 0.2, 4);
				long streamMs = (long) (STREAM_MS * (0.5 + this.random.nextDouble()));
				long targetMs = new long[] { 500, 600, 1000 }[rank];
				this.callers.add(new Caller(this.callers.size(), this.random.nextInt(this.hosts), rank, organisation,
						work, streamMs, (long) nowMs, 7 * targetMs / 10, immediateRetries));
			}
			return this;
		}

		private ReplayLoad build(LongToDoubleFunction capacityWork, int viewAgeMs, long timeoutMs) {
			return new ReplayLoad(this.hosts, this.callers, capacityWork, viewAgeMs, this.durationMs, timeoutMs);
		}

	}

}
