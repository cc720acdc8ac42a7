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
final class OutcomeRetryQueue {

	private final Deque<PendingOutcome> pending = new ArrayDeque<>();

	private final ClaimOptions options;

	private final ClaimCounters counters;

	OutcomeRetryQueue(ClaimOptions options, ClaimCounters counters) {
		this.options = options;
		this.counters = counters;
	}

	synchronized void add(ClaimOutcome outcome, long firstTryAtMs, long nowMs) {
		if (nowMs - firstTryAtMs > this.options.maxOutcomeAgeMs()) {
			this.counters.droppedOutcomes.increment();
			return;
		}
		if (this.pending.size() >= this.options.maxPendingOutcomes()) {
			this.pending.removeFirst();
			this.counters.droppedOutcomes.increment();
		}
		this.pending.add(new PendingOutcome(outcome, firstTryAtMs, nowMs + this.options.outcomeRetryMs()));
	}

	synchronized List<PendingOutcome> takeDue(long nowMs) {
		List<PendingOutcome> due = new ArrayList<>();
		while (!this.pending.isEmpty() && this.pending.peekFirst().dueAtMs() <= nowMs) {
			due.add(this.pending.removeFirst());
		}
		return due;
	}

	synchronized int size() {
		return this.pending.size();
	}

	/**
	 * One outcome.
	 *
	 * @param outcome the outcome
	 * @param firstTryAtMs time of the first try
	 * @param dueAtMs time of the next try
	 */
	record PendingOutcome(ClaimOutcome outcome, long firstTryAtMs, long dueAtMs) {
	}

}
