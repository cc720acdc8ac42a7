package org.medlardrum.decisions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.medlardrum.state.Rank;

/**
 * Admission queue of one pool: decides which work starts next and refuses work that would
 * wait too long.
 */
public final class AdmissionQueue {

	private final Map<Rank, Deque<Work>> queues = new EnumMap<>(Rank.class);

	private final Map<Long, Work> running = new HashMap<>();

	private AdmissionLimits limits;

	/**
	 * Creates an empty queue.
	 * @param limits limits of the pool on this host
	 */
	public AdmissionQueue(AdmissionLimits limits) {
		this.limits = limits;
		for (Rank rank : Rank.values()) {
			this.queues.put(rank, new ArrayDeque<>());
		}
	}

	/**
	 * Offers work.
	 * @param work the work
	 * @param nowMs clock reading, in milliseconds
	 * @return whether the work is queued
	 */
	public AdmissionDecision offer(Work work, long nowMs) {
		double cost = 0;
		for (Rank rank : Rank.values()) {
			if (rank.compareTo(work.rank()) <= 0) {
				for (Work queued : this.queues.get(rank)) {
					cost += queued.cost();
				}
			}
		}
		long waitMs = (this.running.size() < this.limits.windowSlots()) ? 0
				: (long) (1000 * cost / this.limits.costPerS());
		long maxQueueMs = this.limits.rank(work.rank()).maxQueueMs();
		if (waitMs > maxQueueMs) {
			return new AdmissionDecision.Refused("expected wait exceeds the target", waitMs - maxQueueMs);
		}
		this.queues.get(work.rank()).add(work);
		return new AdmissionDecision.Accepted(waitMs);
	}

	/**
	 * Takes the next work to start.
	 * @param nowMs clock reading, in milliseconds
	 * @return the work, empty when the window is full or nothing is queued
	 */
	public Optional<Work> poll(long nowMs) {
		if (this.running.size() >= this.limits.windowSlots()) {
			return Optional.empty();
		}
		for (Rank rank : Rank.values()) {
			Work work = this.queues.get(rank).poll();
			if (work != null) {
				this.running.put(work.id(), work);
				return Optional.of(work);
			}
		}
		return Optional.empty();
	}

	/**
	 * Removes queued work whose caller no longer waits.
	 * @param nowMs clock reading, in milliseconds
	 * @return the removed work, to be answered by the caller of this method
	 */
	public List<Work> expire(long nowMs) {
		List<Work> expired = new ArrayList<>();
		for (Deque<Work> queue : this.queues.values()) {
			queue.stream().filter((work) -> work.expiresAtMs() <= nowMs).forEach(expired::add);
			queue.removeIf((work) -> work.expiresAtMs() <= nowMs);
		}
		return expired;
	}

	/**
	 * Removes queued work.
	 * @param id id of the work
	 * @return {@code true} if the work was queued; running work must be finished instead
	 */
	public boolean cancel(long id) {
		for (Deque<Work> queue : this.queues.values()) {
			if (queue.removeIf((work) -> work.id() == id)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Ends running work and frees its slot.
	 * @param id id of the work
	 * @param actualCost cost that was really used
	 * @param nowMs clock reading, in milliseconds
	 */
	public void finish(long id, double actualCost, long nowMs) {
		this.running.remove(id);
	}

	/**
	 * Replaces the limits. Queued and running work is kept.
	 * @param limits the new limits
	 */
	public void update(AdmissionLimits limits) {
		this.limits = limits;
	}

	/**
	 * Returns the pieces of work that are queued.
	 * @return the number
	 */
	public int queued() {
		return this.queues.values().stream().mapToInt(Deque::size).sum();
	}

	/**
	 * Returns the pieces of work that run.
	 * @return the number
	 */
	public int running() {
		return this.running.size();
	}

}
