package org.medlardrum.coordination.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.medlardrum.peer.gen.ClaimOutcome;

/**
 * Queue of outcomes that could not be recorded and are retried. An outcome that is too
 * old is dropped, and so is the oldest one when too many are pending; callers' retries
 * with its key then receive {@code OUTCOME_UNKNOWN}.
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
	 * An outcome that waits for a retry.
	 *
	 * @param outcome the outcome
	 * @param firstTryAtMs time of the first attempt to record it
	 * @param dueAtMs time of the next attempt to record it
	 */
	record PendingOutcome(ClaimOutcome outcome, long firstTryAtMs, long dueAtMs) {
	}

}
