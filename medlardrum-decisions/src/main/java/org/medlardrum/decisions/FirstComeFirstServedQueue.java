package org.medlardrum.decisions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.medlardrum.state.Rank;

/**
 * Baseline for benchmarks: a single queue in order of arrival, without ranks,
 * organisation shares or wait limits. Work is refused only when the queue is full.
 */
public final class FirstComeFirstServedQueue implements AdmissionPolicy {

	private static final int CAPACITY = 10_000;

	private static final long RETRY_AFTER_MS = 1000;

	private final Deque<Work> waiting = new ArrayDeque<>();

	private final Set<Long> running = new HashSet<>();

	private int windowSlots;

	/**
	 * Creates an empty queue.
	 * @param limits limits of the pool on this host; only the concurrency window is used
	 */
	public FirstComeFirstServedQueue(AdmissionLimits limits) {
		update(limits);
	}

	@Override
	public AdmissionDecision offer(Work work, long nowMs) {
		if (this.waiting.size() >= CAPACITY) {
			return new AdmissionDecision.Refused("queue is full", RETRY_AFTER_MS);
		}
		this.waiting.addLast(work);
		return new AdmissionDecision.Accepted(0);
	}

	@Override
	public Optional<Work> poll(long nowMs) {
		if (this.running.size() >= this.windowSlots || this.waiting.isEmpty()) {
			return Optional.empty();
		}
		Work next = this.waiting.removeFirst();
		this.running.add(next.id());
		return Optional.of(next);
	}

	@Override
	public List<Work> expire(long nowMs) {
		List<Work> expired = new ArrayList<>();
		for (Iterator<Work> it = this.waiting.iterator(); it.hasNext();) {
			Work work = it.next();
			if (work.expiresAtMs() <= nowMs) {
				it.remove();
				expired.add(work);
			}
		}
		return expired;
	}

	@Override
	public boolean cancel(long id) {
		return this.waiting.removeIf((work) -> work.id() == id);
	}

	@Override
	public void finish(long id, double actualCost, long nowMs) {
		this.running.remove(id);
	}

	@Override
	public void update(AdmissionLimits limits) {
		this.windowSlots = limits.windowSlots();
	}

	@Override
	public int queued(Rank rank) {
		return (int) this.waiting.stream().filter((work) -> work.rank() == rank).count();
	}

	@Override
	public int running() {
		return this.running.size();
	}

}
