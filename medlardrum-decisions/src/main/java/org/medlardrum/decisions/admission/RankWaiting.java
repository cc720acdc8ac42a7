package org.medlardrum.decisions.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeSet;

/**
 * Waiting requests of one rank, by organisation and within an organisation by the time by
 * which they must start.
 */
final class RankWaiting {

	// Of two requests with the same time, the one with less work is first: it needs less
	// room to be free.
	private static final Comparator<AdmissionRequest> BY_START = Comparator.comparingLong(AdmissionRequest::startByMs)
		.thenComparingDouble(AdmissionRequest::work)
		.thenComparing(AdmissionRequest::id);

	private static final Comparator<AdmissionRequest> BY_COST = Comparator.comparingDouble(AdmissionRequest::work)
		.thenComparingLong(AdmissionRequest::arrivedAtMs)
		.thenComparing(AdmissionRequest::id);

	private final Map<String, Entries> organisations = new HashMap<>();

	private final StartedWork started;

	private int size;

	private double work;

	RankWaiting(long shareWindowMs) {
		this.started = new StartedWork(shareWindowMs);
	}

	void add(AdmissionRequest request) {
		Entries entries = this.organisations.computeIfAbsent(request.organisation(), (name) -> new Entries());
		entries.requests.add(request);
		entries.work += request.work();
		this.size++;
		this.work += request.work();
	}

	void remove(AdmissionRequest request) {
		Entries entries = this.organisations.get(request.organisation());
		entries.requests.remove(request);
		entries.work -= request.work();
		this.size--;
		// Sums of doubles keep a remainder, which must not count as waiting work.
		this.work = (this.size == 0) ? 0 : this.work - request.work();
		if (entries.requests.isEmpty()) {
			this.organisations.remove(request.organisation());
		}
	}

	void recordStart(AdmissionRequest request, long nowMs) {
		this.started.add(request.organisation(), request.work(), nowMs);
	}

	int size() {
		return this.size;
	}

	double work() {
		return this.work;
	}

	// Returns the work of this rank that starts before the request, if organisations
	// take turns until their started work is equal.
	double workAhead(AdmissionRequest request, long nowMs) {
		double perWork = this.started.weightOfWork(nowMs);
		double ownAhead = 0;
		Entries own = this.organisations.get(request.organisation());
		if (own != null) {
			for (AdmissionRequest earlier : own.requests.headSet(request)) {
				ownAhead += earlier.work();
			}
		}
		double level = this.started.weight(request.organisation()) + ownAhead * perWork;
		double ahead = ownAhead;
		for (Map.Entry<String, Entries> other : this.organisations.entrySet()) {
			if (!other.getKey().equals(request.organisation())) {
				double behind = (level - this.started.weight(other.getKey())) / perWork;
				ahead += Math.max(0, Math.min(behind, other.getValue().work));
			}
		}
		return ahead;
	}

	// Returns the request that starts first, empty if none can start in time.
	Optional<AdmissionRequest> first(long nowMs) {
		return Optional.ofNullable(turns(nowMs).peek());
	}

	// Returns whether a request that does not wait would start before all waiting ones.
	boolean isFirst(AdmissionRequest request, long nowMs) {
		return first(nowMs).map((first) -> {
			double weight = this.started.weight(request.organisation());
			double firstWeight = this.started.weight(first.organisation());
			return weight < firstWeight || weight == firstWeight && BY_START.compare(request, first) < 0;
		}).orElse(true);
	}

	// Returns the request whose refusal costs least: of the organisation that has the
	// most started and waiting work, the one with the most work, the newest of equals.
	AdmissionRequest cheapest(long nowMs) {
		double perWork = this.started.weightOfWork(nowMs);
		Entries largest = null;
		double largestWeight = 0;
		for (Map.Entry<String, Entries> entry : this.organisations.entrySet()) {
			double weight = this.started.weight(entry.getKey()) + entry.getValue().work * perWork;
			if (largest == null || weight > largestWeight) {
				largest = entry.getValue();
				largestWeight = weight;
			}
		}
		return largest.requests.stream().max(BY_COST).orElseThrow();
	}

	// Returns the request of an organisation whose refusal costs least, null if none
	// waits.
	AdmissionRequest cheapest(String organisation) {
		Entries entries = this.organisations.get(organisation);
		return (entries != null) ? entries.requests.stream().max(BY_COST).orElseThrow() : null;
	}

	// Lists the requests in the order in which they start when nothing else arrives.
	Turns turns(long nowMs) {
		return new Turns(this.organisations, this.started, nowMs);
	}

	/**
	 * Iterates over the requests of the rank in the order in which they start.
	 */
	static final class Turns {

		private final PriorityQueue<Turn> turns = new PriorityQueue<>(
				Comparator.<Turn>comparingDouble((turn) -> turn.weight).thenComparing((turn) -> turn.next, BY_START));

		private final double perWork;

		private Turns(Map<String, Entries> organisations, StartedWork started, long nowMs) {
			this.perWork = started.weightOfWork(nowMs);
			organisations.forEach((name, entries) -> {
				Turn turn = new Turn(entries.requests, started.weight(name));
				if (turn.advance(nowMs)) {
					this.turns.add(turn);
				}
			});
		}

		AdmissionRequest peek() {
			Turn turn = this.turns.peek();
			return (turn != null) ? turn.next : null;
		}

		AdmissionRequest take(long nowMs) {
			Turn turn = this.turns.poll();
			AdmissionRequest request = turn.next;
			turn.weight += request.work() * this.perWork;
			if (turn.advance(nowMs)) {
				this.turns.add(turn);
			}
			return request;
		}

	}

	private static final class Turn {

		private final Iterator<AdmissionRequest> requests;

		private double weight;

		private AdmissionRequest next;

		private Turn(Collection<AdmissionRequest> requests, double weight) {
			this.requests = requests.iterator();
			this.weight = weight;
		}

		private boolean advance(long nowMs) {
			while (this.requests.hasNext()) {
				this.next = this.requests.next();
				if (this.next.startByMs() >= nowMs) {
					return true;
				}
			}
			return false;
		}

	}

	private static final class Entries {

		private final TreeSet<AdmissionRequest> requests = new TreeSet<>(BY_START);

		private double work;

	}

}
