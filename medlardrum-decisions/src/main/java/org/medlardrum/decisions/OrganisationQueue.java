package org.medlardrum.decisions;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * First-in, first-out queue of one organisation's work within a rank, with the start and
 * finish tags of start-time fair queueing.
 */
final class OrganisationQueue {

	private final String organisation;

	private final Map<Long, Work> queued = new LinkedHashMap<>();

	private double queuedCost;

	// Virtual time at which the first queued work starts.
	private double startTag;

	// Virtual time at which the work that was taken last finishes.
	private double finishTag;

	private double weight;

	OrganisationQueue(String organisation, double weight) {
		this.organisation = organisation;
		this.weight = weight;
	}

	String organisation() {
		return this.organisation;
	}

	boolean isEmpty() {
		return this.queued.isEmpty();
	}

	double queuedCost() {
		return this.queuedCost;
	}

	double startTag() {
		return this.startTag;
	}

	double finishTag() {
		return this.finishTag;
	}

	double weight() {
		return this.weight;
	}

	// Scales the distance of the tags from the virtual time, so that it stays the same in
	// units of cost.
	void updateWeight(double newWeight, double virtualTime) {
		double factor = this.weight / newWeight;
		this.startTag = virtualTime + (this.startTag - virtualTime) * factor;
		this.finishTag = virtualTime + (this.finishTag - virtualTime) * factor;
		this.weight = newWeight;
	}

	// Sets the start tag when the queue is no longer empty or the finish tag has changed.
	void activate(double virtualTime) {
		this.startTag = Math.max(virtualTime, this.finishTag);
	}

	void add(Work work) {
		this.queued.put(work.id(), work);
		this.queuedCost += work.cost();
	}

	void remove(Work work) {
		this.queued.remove(work.id());
		// Subtraction leaves rounding errors, which must not remain in an empty queue.
		this.queuedCost = (this.queued.isEmpty()) ? 0 : this.queuedCost - work.cost();
	}

	double firstCost() {
		return first().cost();
	}

	private Work first() {
		return this.queued.values().iterator().next();
	}

	Work takeFirst() {
		Work first = first();
		remove(first);
		this.finishTag = this.startTag + first.cost() / this.weight;
		this.startTag = this.finishTag;
		return first;
	}

	// Charges the difference between actual and expected cost of work that was taken.
	void adjustCost(double costDifference) {
		this.finishTag += costDifference / this.weight;
	}

}
