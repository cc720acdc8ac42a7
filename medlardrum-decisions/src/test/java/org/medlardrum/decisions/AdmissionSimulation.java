package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.medlardrum.state.Rank;

/**
 * Discrete-event simulation of a pool behind an admission queue. Arrivals are a Poisson
 * process, with costs drawn uniformly from 0.5 to 1.5 times the mean cost of the source;
 * all slots of the pool run at the same speed and together complete the configured cost
 * per second.
 */
final class AdmissionSimulation {

	// Work that expires counts as accepted, but neither in servedCost nor in maxWaitMs.
	private static final long EXPIRES_AFTER_MS = 600_000;

	private final AdmissionLimits limits;

	private final List<Source> sources = new ArrayList<>();

	private final Map<String, Result> results = new HashMap<>();

	private final Map<Long, String> sourceOfWork = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			(left, right) -> Double.compare(left.atMs(), right.atMs()));

	private final SplittableRandom random;

	private long nextId;

	AdmissionSimulation(AdmissionLimits limits, long seed) {
		this.limits = limits;
		this.random = new SplittableRandom(seed);
	}

	AdmissionSimulation source(String name, Rank rank, String organisation, double offeredCostPerS, double meanCost) {
		return source(name, rank, organisation, offeredCostPerS, meanCost, 0);
	}

	AdmissionSimulation source(String name, Rank rank, String organisation, double offeredCostPerS, double meanCost,
			long fromMs) {
		this.sources.add(new Source(name, rank, organisation, offeredCostPerS, meanCost, fromMs));
		return this;
	}

	Map<String, Result> run(long durationMs) {
		AdmissionQueue queue = new AdmissionQueue(this.limits);
		for (Source source : this.sources) {
			this.results.put(source.name(), new Result());
			this.events.add(new Event(source.fromMs(), source, null));
		}
		while (!this.events.isEmpty() && this.events.peek().atMs() < durationMs) {
			Event event = this.events.poll();
			long nowMs = (long) event.atMs();
			if (event.source() != null) {
				arrive(queue, event, nowMs);
			}
			else {
				queue.finish(event.finished().id(), event.finished().cost(), nowMs);
				this.results.get(this.sourceOfWork.get(event.finished().id())).servedCost += event.finished().cost();
			}
			start(queue, event.atMs());
		}
		return this.results;
	}

	private void arrive(AdmissionQueue queue, Event event, long nowMs) {
		Source source = event.source();
		double cost = source.meanCost() * (0.5 + this.random.nextDouble());
		Work work = new Work(this.nextId++, source.rank(), source.organisation(), cost, nowMs,
				nowMs + EXPIRES_AFTER_MS);
		Result result = this.results.get(source.name());
		if (queue.offer(work, nowMs) instanceof AdmissionDecision.Accepted) {
			result.accepted++;
			this.sourceOfWork.put(work.id(), source.name());
		}
		else {
			result.refused++;
		}
		double gapMs = -Math.log(1 - this.random.nextDouble()) * 1000 * source.meanCost() / source.offeredCostPerS();
		this.events.add(new Event(event.atMs() + gapMs, source, null));
	}

	private void start(AdmissionQueue queue, double nowMs) {
		for (Optional<Work> next = queue.poll((long) nowMs); next.isPresent(); next = queue.poll((long) nowMs)) {
			Work work = next.get();
			Result result = this.results.get(this.sourceOfWork.get(work.id()));
			result.maxWaitMs = Math.max(result.maxWaitMs, (long) nowMs - work.arrivedAtMs());
			double durationMs = 1000 * work.cost() * this.limits.windowSlots() / this.limits.costPerS();
			this.events.add(new Event(nowMs + durationMs, null, work));
		}
	}

	private record Source(String name, Rank rank, String organisation, double offeredCostPerS, double meanCost,
			long fromMs) {
	}

	// Arrival of work from a source, or completion of work; the other component is null.
	private record Event(double atMs, Source source, Work finished) {
	}

	static final class Result {

		double servedCost;

		// Of work that was started; without work that is still queued or has expired.
		long maxWaitMs;

		int accepted;

		int refused;

	}

}
