package org.medlardrum.entry.internal.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.medlardrum.decisions.AdmissionDecision;
import org.medlardrum.decisions.AdmissionLimits;
import org.medlardrum.decisions.AdmissionPolicy;
import org.medlardrum.decisions.Work;
import org.medlardrum.state.Rank;

/**
 * Queue of one pool with the tickets that wait in it. Owned by the admission thread.
 */
final class PoolQueue {

	private final AdmissionPolicy queue;

	private final Map<Long, Ticket> waiting = new HashMap<>();

	private final DemandMeter demand = new DemandMeter();

	PoolQueue(AdmissionPolicy queue) {
		this.queue = queue;
	}

	void update(AdmissionLimits limits) {
		this.queue.update(limits);
	}

	void offer(Ticket ticket, long nowMs) {
		this.demand.offered(ticket.work());
		switch (this.queue.offer(ticket.work(), nowMs)) {
			case AdmissionDecision.Accepted accepted -> this.waiting.put(ticket.work().id(), ticket);
			case AdmissionDecision.Refused refused ->
				ticket.complete(new AdmissionResult.Refused(refused.reason(), refused.retryAfterMs()));
		}
	}

	void release(Ticket ticket, double actualCost, long nowMs) {
		this.waiting.remove(ticket.work().id());
		if (!this.queue.cancel(ticket.work().id())) {
			this.queue.finish(ticket.work().id(), actualCost, nowMs);
			this.demand.served(ticket.work(), actualCost);
		}
	}

	void startNext(long nowMs) {
		for (Optional<Work> next = this.queue.poll(nowMs); next.isPresent(); next = this.queue.poll(nowMs)) {
			Ticket ticket = this.waiting.remove(next.get().id());
			if (ticket != null) {
				ticket.complete(new AdmissionResult.Started());
			}
		}
		for (Work work : this.queue.expire(nowMs)) {
			Ticket ticket = this.waiting.remove(work.id());
			if (ticket != null) {
				ticket.complete(new AdmissionResult.Expired());
			}
		}
	}

	boolean hasQueued() {
		return !this.waiting.isEmpty();
	}

	PoolStatus status(String pool) {
		Map<Rank, Integer> queued = new java.util.EnumMap<>(Rank.class);
		for (Rank rank : Rank.values()) {
			queued.put(rank, this.queue.queued(rank));
		}
		return new PoolStatus(pool, queued, this.queue.running(), this.demand.ranks(pool),
				this.demand.organisations(pool));
	}

	void tick(double elapsedS) {
		this.demand.tick(elapsedS);
	}

}
