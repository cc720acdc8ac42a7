package org.medlardrum.standins.internal.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Event queue in simulated time. Events of the same time run in the order in which they
 * were scheduled, so that a run depends on its input only. Not thread-safe.
 */
final class SimulationQueue {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::number));

	private double nowMs;

	private long scheduled;

	double nowMs() {
		return this.nowMs;
	}

	void schedule(double delayMs, Runnable action) {
		if (!(delayMs >= 0)) {
			throw new IllegalArgumentException("Delay of " + delayMs + " ms is negative or not a number");
		}
		this.events.add(new Event(this.nowMs + delayMs, this.scheduled++, action));
	}

	/**
	 * Runs events until none is left or the end time is reached.
	 * @param endMs simulated time at which to stop, in milliseconds
	 */
	void runUntil(double endMs) {
		while (!this.events.isEmpty() && this.events.peek().atMs() <= endMs) {
			Event event = this.events.poll();
			this.nowMs = event.atMs();
			event.action().run();
		}
		this.nowMs = endMs;
	}

	private record Event(double atMs, long number, Runnable action) {
	}

}
