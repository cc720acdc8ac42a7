package org.medlardrum.decisions;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

/**
 * Queued work of one rank. Organisations share the rank by start-time fair queueing over
 * cost (Goyal, Vin and Cheng, 1996): the organisation with the smallest start tag is
 * served next, and its tag advances by cost divided by weight. Tags are in virtual time,
 * which is the largest start tag served since the rank last had no queued work.
 */
final class RankQueue {

	// Includes organisations without queued work, whose finish tags are kept until the
	// whole rank has no queued work.
	private final Map<String, OrganisationQueue> organisations = new HashMap<>();

	private final TreeSet<OrganisationQueue> backlogged = new TreeSet<>(
			Comparator.comparingDouble(OrganisationQueue::startTag).thenComparing(OrganisationQueue::organisation));

	private final ToDoubleFunction<String> weights;

	private double virtualTime;

	private double queuedCost;

	private int size;

	RankQueue(ToDoubleFunction<String> weights) {
		this.weights = weights;
	}

	boolean isEmpty() {
		return this.size == 0;
	}

	int size() {
		return this.size;
	}

	double queuedCost() {
		return this.queuedCost;
	}

	double queuedCost(String organisation) {
		OrganisationQueue queue = this.organisations.get(organisation);
		return (queue != null) ? queue.queuedCost() : 0;
	}

	void add(Work work) {
		OrganisationQueue queue = this.organisations.computeIfAbsent(work.organisation(),
				(organisation) -> new OrganisationQueue(organisation, this.weights.applyAsDouble(organisation)));
		if (queue.isEmpty()) {
			queue.activate(this.virtualTime);
			this.backlogged.add(queue);
		}
		queue.add(work);
		this.size++;
		this.queuedCost += work.cost();
	}

	Work takeFirst() {
		OrganisationQueue queue = this.backlogged.pollFirst();
		this.virtualTime = Math.max(this.virtualTime, queue.startTag());
		Work work = queue.takeFirst();
		if (!queue.isEmpty()) {
			this.backlogged.add(queue);
		}
		onRemoved(work);
		return work;
	}

	void remove(Work work) {
		OrganisationQueue queue = this.organisations.get(work.organisation());
		queue.remove(work);
		if (queue.isEmpty()) {
			this.backlogged.remove(queue);
		}
		onRemoved(work);
	}

	private void onRemoved(Work work) {
		this.size--;
		this.queuedCost = (this.size == 0) ? 0 : this.queuedCost - work.cost();
		if (this.size == 0) {
			// The busy period ends: an organisation is not penalised later for capacity
			// that no other organisation needed.
			this.organisations.clear();
			this.virtualTime = 0;
		}
	}

	// Charges the difference between actual and expected cost. For an organisation with
	// queued work, its start tag changes as well, so it is removed from the sorted set
	// and added again.
	void adjustCost(String organisation, double costDifference) {
		OrganisationQueue queue = this.organisations.get(organisation);
		if (queue == null) {
			return;
		}
		boolean queued = this.backlogged.remove(queue);
		queue.adjustCost(costDifference);
		if (queued) {
			queue.activate(this.virtualTime);
			this.backlogged.add(queue);
		}
	}

	// Returns the cost that starts before new work of an organisation. Until the
	// organisation's own queue has been served, each other organisation is served at most
	// its queued cost and at most its weighted share, but at least its first work item.
	double costAhead(Work work) {
		OrganisationQueue own = this.organisations.get(work.organisation());
		double ownQueued = (own != null) ? own.queuedCost() : 0;
		double weight = (own != null) ? own.weight() : this.weights.applyAsDouble(work.organisation());
		double ownTag = this.virtualTime;
		if (own != null) {
			ownTag = (own.isEmpty()) ? Math.max(own.finishTag(), this.virtualTime) : own.startTag();
		}
		double newWorkTag = ownTag + ownQueued / weight;
		double costAhead = ownQueued;
		for (OrganisationQueue other : this.backlogged) {
			if (other.startTag() > newWorkTag) {
				break;
			}
			if (other != own) {
				double shareCost = (newWorkTag - other.startTag()) * other.weight();
				costAhead += Math.min(other.queuedCost(), Math.max(shareCost, other.firstCost()));
			}
		}
		return costAhead;
	}

	// Applies changed weights. Each organisation keeps its lead over the virtual time in
	// units of cost; otherwise a change in the scale of the weights would delay or favour
	// the organisations that were served last.
	void updateWeights() {
		this.backlogged.clear();
		for (OrganisationQueue queue : this.organisations.values()) {
			queue.updateWeight(this.weights.applyAsDouble(queue.organisation()), this.virtualTime);
			if (!queue.isEmpty()) {
				this.backlogged.add(queue);
			}
		}
	}

}
