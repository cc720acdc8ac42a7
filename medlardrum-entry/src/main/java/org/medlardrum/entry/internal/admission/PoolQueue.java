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
 * Admission policy of one pool, with the tickets that are queued in it. Used only by the
 * admission thread.
 */
final class PoolQueue {

	private final AdmissionPolicy policy;

	private final Map<Long, Ticket> ticketsById = new HashMap<>();

	private final DemandMeter demand = new DemandMeter();

	PoolQueue(AdmissionPolicy policy) {
		this.policy = policy;
	}

	void update(AdmissionLimits limits) {
		this.policy.update(limits);
	}

	void offer(Ticket ticket, long nowMs) {
		this.demand.offered(ticket.work());
		switch (this.policy.offer(ticket.work(), nowMs)) {
			case AdmissionDecision.Accepted accepted -> this.ticketsById.put(ticket.work().id(), ticket);
			case AdmissionDecision.Refused refused ->
				ticket.complete(new AdmissionResult.Refused(refused.reason(), refused.retryAfterMs()));
		}
	}

	void release(Ticket ticket, double actualCost, long nowMs) {
		this.ticketsById.remove(ticket.work().id());
		if (!this.policy.cancel(ticket.work().id())) {
			this.policy.finish(ticket.work().id(), actualCost, nowMs);
			this.demand.served(ticket.work(), actualCost);
		}
	}

	void startAndExpire(long nowMs) {
		for (Optional<Work> next = this.policy.poll(nowMs); next.isPresent(); next = this.policy.poll(nowMs)) {
			Ticket ticket = this.ticketsById.remove(next.get().id());
			if (ticket != null) {
				ticket.complete(new AdmissionResult.Started());
			}
		}
		for (Work work : this.policy.expire(nowMs)) {
			Ticket ticket = this.ticketsById.remove(work.id());
			if (ticket != null) {
				ticket.complete(new AdmissionResult.Expired());
			}
		}
	}

	boolean hasQueued() {
		return !this.ticketsById.isEmpty();
	}

	PoolStatus status(String pool) {
		Map<Rank, Integer> queued = new java.util.EnumMap<>(Rank.class);
		for (Rank rank : Rank.values()) {
			queued.put(rank, this.policy.queued(rank));
		}
		return new PoolStatus(pool, queued, this.policy.running(), this.demand.ranks(pool),
				this.demand.organisations(pool));
	}

	void updateDemand(double elapsedS) {
		this.demand.updateRates(elapsedS);
	}

}
