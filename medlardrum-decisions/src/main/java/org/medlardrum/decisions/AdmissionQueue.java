package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.medlardrum.state.Rank;

/**
 * Admission queue of one pool: decides which work starts next and refuses work that would
 * wait too long. A rank that is below its floor is served first, then the most urgent
 * rank; within a rank, organisations share capacity by weight. Accepted work leaves the
 * queue only through {@link #poll}, {@link #cancel} or {@link #expire}. <pre>{@code
 * AdmissionQueue queue = new AdmissionQueue(limits);
 * if (queue.offer(work, nowMs) instanceof AdmissionDecision.Refused refused) {
 *     return tooManyRequests(refused.retryAfterMs());
 * }
 * queue.poll(nowMs).ifPresent(this::start);
 * }</pre>
 */
public final class AdmissionQueue implements AdmissionPolicy {

	private static final Rank[] RANKS = Rank.values();

	private final Map<Rank, RankQueue> queues = new EnumMap<>(Rank.class);

	private final Map<Long, Work> queued = new HashMap<>();

	private final TreeSet<Work> byExpiry = new TreeSet<>(
			Comparator.comparingLong(Work::expiresAtMs).thenComparingLong(Work::id));

	private final List<Work> expired = new ArrayList<>();

	private final Map<Long, Work> running = new HashMap<>();

	private final RankFloors floors = new RankFloors();

	private final WaitEstimate waits = new WaitEstimate(this.queues, this.floors, this::weight);

	private final ServedRate served = new ServedRate();

	private double runningCost;

	private AdmissionLimits limits;

	/**
	 * Creates an empty queue.
	 * @param limits limits of the pool on this host
	 */
	public AdmissionQueue(AdmissionLimits limits) {
		for (Rank rank : RANKS) {
			this.queues.put(rank, new RankQueue(this::weight));
		}
		update(limits);
	}

	/**
	 * Offers work for admission. It is refused when its expected wait exceeds the limit
	 * of its rank or the time until it expires. The wait depends on the organisation's
	 * own queue, so an organisation that fills the queue is refused before others are.
	 * @param work the work
	 * @param nowMs current time, in milliseconds
	 * @return whether the work was accepted
	 * @throws IllegalArgumentException if work of the same id is queued or running
	 */
	public AdmissionDecision offer(Work work, long nowMs) {
		this.served.advance(nowMs, isBusy());
		if (this.queued.containsKey(work.id()) || this.running.containsKey(work.id())) {
			throw new IllegalArgumentException("Work " + work.id() + " is already queued or running");
		}
		if (work.expiresAtMs() <= nowMs) {
			return new AdmissionDecision.Refused("the request expired before it was queued", 0);
		}
		long waitMs = expectedWaitMs(work, nowMs);
		long maxQueueMs = this.limits.rank(work.rank()).maxQueueMs();
		if (waitMs > maxQueueMs) {
			return new AdmissionDecision.Refused("expected wait of " + waitMs + " ms exceeds " + maxQueueMs + " ms",
					WaitEstimate.retryAfterMs(waitMs, maxQueueMs));
		}
		if (waitMs > work.expiresAtMs() - nowMs) {
			return new AdmissionDecision.Refused("expected wait of " + waitMs + " ms exceeds the request's time limit",
					WaitEstimate.retryAfterMs(waitMs, work.expiresAtMs() - nowMs));
		}
		this.queued.put(work.id(), work);
		this.byExpiry.add(work);
		this.queues.get(work.rank()).add(work);
		this.waits.accepted(work, nowMs);
		return new AdmissionDecision.Accepted(waitMs);
	}

	private double weight(String organisation) {
		return this.limits.weight(organisation);
	}

	private boolean isBusy() {
		return this.limits != null && this.running.size() >= this.limits.windowSlots() && !this.queued.isEmpty();
	}

	private long expectedWaitMs(Work work, long nowMs) {
		int freeSlots = this.limits.windowSlots() - this.running.size();
		if (this.queued.size() < freeSlots) {
			return 0;
		}
		double meanRunningCost = (this.running.isEmpty()) ? 0 : this.runningCost / this.running.size();
		return this.waits.expectedWaitMs(work, meanRunningCost, this.served.costPerS(this.limits.costPerS()), nowMs);
	}

	/**
	 * Takes the next work to start. The caller ends it with {@link #finish}.
	 * @param nowMs current time, in milliseconds
	 * @return the work, empty when the concurrency window is full or nothing is queued
	 */
	public Optional<Work> poll(long nowMs) {
		this.served.advance(nowMs, isBusy());
		removeExpired(nowMs);
		if (this.running.size() >= this.limits.windowSlots() || this.queued.isEmpty()) {
			return Optional.empty();
		}
		Rank rank = this.floors.next(this.queues);
		Work work = this.queues.get(rank).takeFirst();
		this.queued.remove(work.id());
		this.byExpiry.remove(work);
		this.running.put(work.id(), work);
		this.runningCost += work.cost();
		this.floors.started(rank, work.cost(), this.queues);
		return Optional.of(work);
	}

	/**
	 * Removes queued work whose caller no longer waits.
	 * @param nowMs current time, in milliseconds
	 * @return work removed since the last call; its callers still need a response
	 */
	public List<Work> expire(long nowMs) {
		removeExpired(nowMs);
		List<Work> removed = List.copyOf(this.expired);
		this.expired.clear();
		return removed;
	}

	private void removeExpired(long nowMs) {
		while (!this.byExpiry.isEmpty() && this.byExpiry.first().expiresAtMs() <= nowMs) {
			Work work = this.byExpiry.first();
			remove(work);
			this.expired.add(work);
		}
	}

	/**
	 * Removes queued work.
	 * @param id identifier of the work
	 * @return {@code true} if the work was queued; running work must be finished instead
	 */
	public boolean cancel(long id) {
		Work work = this.queued.get(id);
		if (work == null) {
			return false;
		}
		remove(work);
		return true;
	}

	private void remove(Work work) {
		this.queued.remove(work.id());
		this.byExpiry.remove(work);
		RankQueue queue = this.queues.get(work.rank());
		queue.remove(work);
		if (queue.isEmpty()) {
			this.floors.clearDeficit(work.rank());
		}
	}

	/**
	 * Ends running work and frees its slot. Unknown ids are ignored.
	 * @param id identifier of the work
	 * @param actualCost cost that was actually used; the difference from the expected
	 * cost is charged to the organisation and the rank
	 * @param nowMs current time, in milliseconds
	 */
	public void finish(long id, double actualCost, long nowMs) {
		boolean busy = isBusy();
		this.served.advance(nowMs, busy);
		Work work = this.running.remove(id);
		if (work == null) {
			return;
		}
		if (busy) {
			this.served.onCompleted(work.cost());
		}
		this.runningCost = (this.running.isEmpty()) ? 0 : this.runningCost - work.cost();
		double difference = actualCost - work.cost();
		if (difference != 0) {
			this.queues.get(work.rank()).adjustCost(work.organisation(), difference);
			this.floors.charge(work.rank(), difference, this.queues);
		}
	}

	/**
	 * Replaces the limits. Queued and running work is kept.
	 * @param limits the new limits
	 */
	public void update(AdmissionLimits limits) {
		boolean weightsChanged = this.limits != null
				&& !this.limits.organisationWeights().equals(limits.organisationWeights());
		this.limits = limits;
		this.floors.update(limits);
		if (weightsChanged) {
			this.queues.values().forEach(RankQueue::updateWeights);
		}
	}

	/**
	 * Returns the number of queued work items.
	 * @return the number
	 */
	public int queued() {
		return this.queued.size();
	}

	/**
	 * Returns the number of queued work items of a rank.
	 * @param rank the rank
	 * @return the number
	 */
	public int queued(Rank rank) {
		return this.queues.get(rank).size();
	}

	/**
	 * Returns the number of running work items.
	 * @return the number
	 */
	public int running() {
		return this.running.size();
	}

}
