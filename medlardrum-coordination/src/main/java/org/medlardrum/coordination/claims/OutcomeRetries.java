package org.medlardrum.coordination.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.medlardrum.peer.gen.ClaimOutcome;

/**
 * Outcomes that could not be recorded, kept for another try. When the store stays away
 * for too long or too many outcomes wait, the oldest is given up, and repeats of its key
 * get {@code OUTCOME_UNKNOWN}.
 */
final class OutcomeRetries {

	private final Deque<Waiting> waiting = new ArrayDeque<>();

	private final ClaimOptions options;

	private final ClaimCounters counters;

	OutcomeRetries(ClaimOptions options, ClaimCounters counters) {
		this.options = options;
		this.counters = counters;
	}

	synchronized void add(ClaimOutcome outcome, long firstTryAtMs, long nowMs) {
		if (nowMs - firstTryAtMs > this.options.outcomeKeepMs()) {
			this.counters.droppedOutcomes.increment();
			return;
		}
		if (this.waiting.size() >= this.options.maxPendingOutcomes()) {
			this.waiting.removeFirst();
			this.counters.droppedOutcomes.increment();
		}
		this.waiting.add(new Waiting(outcome, firstTryAtMs, nowMs + this.options.outcomeRetryMs()));
	}

	synchronized List<Waiting> takeDue(long nowMs) {
		List<Waiting> due = new ArrayList<>();
		while (!this.waiting.isEmpty() && this.waiting.peekFirst().dueAtMs() <= nowMs) {
			due.add(this.waiting.removeFirst());
		}
		return due;
	}

	synchronized int size() {
		return this.waiting.size();
	}

	/**
	 * One outcome.
	 *
	 * @param outcome the outcome
	 * @param firstTryAtMs time of the first try
	 * @param dueAtMs time of the next try
	 */
	record Waiting(ClaimOutcome outcome, long firstTryAtMs, long dueAtMs) {
	}

}
