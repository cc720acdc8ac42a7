package org.medlardrum.decisions.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Requests of one service that wait at one host until capacity becomes free. Ranks below
 * their floor of started work come first, then the most urgent rank; within a rank,
 * organisations that started less work recently come first. Not thread-safe. <pre>{@code
 * switch (waitlist.offer(request, forecast, nowMs)) {
 *     case AdmissionOutcome.Wait wait -> { }
 *     case AdmissionOutcome.Refuse refuse -> respond(request, refuse);
 * }
 * waitlist.takeDisplaced().forEach(this::refuse);
 * for (AdmissionRequest next : waitlist.inOrder(nowMs)) {
 *     if (tryStart(next)) {
 *         waitlist.recordStart(next, nowMs);
 *     }
 * }
 * }</pre>
 */
public final class AdmissionWaitlist {

	private static final String PASSED = "the time by which the request must start has passed";

	private static final String TOO_LATE = "no capacity is expected in time";

	private static final String FULL = "more urgent or smaller requests fill the waitlist";

	private static final String ORGANISATION_FULL = "too many requests of the organisation wait";

	// The forecast changes with each end and each digest; the gateway tries waiting
	// requests at least every 50 ms.
	private static final long REVIEW_INTERVAL_MS = 50;

	private final AdmissionSettings settings;

	private final Map<String, AdmissionRequest> waiting = new LinkedHashMap<>();

	private final Map<String, Integer> countOfOrganisation = new HashMap<>();

	private final NavigableMap<Integer, RankWaiting> ranks = new TreeMap<>();

	private final List<Displaced> displaced = new ArrayList<>();

	private final FloorCredits floors;

	private final ReturnTime returns;

	private RoomForecast forecast;

	private long reviewedAtMs = Long.MIN_VALUE / 2;

	/**
	 * Creates an empty waitlist.
	 * @param settings limits of the service at this host
	 */
	public AdmissionWaitlist(AdmissionSettings settings) {
		this.settings = settings;
		this.floors = new FloorCredits(settings.floorShare());
		this.returns = new ReturnTime(settings);
	}

	/**
	 * Offers a request for which no capacity is free now. The waitlist may give up other
	 * requests for it, see {@link #takeDisplaced}.
	 * @param request the request
	 * @param forecast forecast of the service; it is also used by {@link #expire}
	 * @param nowMs current time, in milliseconds
	 * @return whether the request waits or is refused
	 * @throws IllegalArgumentException if a request of the same identifier waits
	 */
	public AdmissionOutcome offer(AdmissionRequest request, RoomForecast forecast, long nowMs) {
		if (this.waiting.containsKey(request.id())) {
			throw new IllegalArgumentException("Request " + request.id() + " already waits");
		}
		this.forecast = forecast;
		this.floors.demand(request.rank(), request.work(), nowMs);
		if (request.startByMs() < nowMs) {
			return refuse(request, PASSED, nowMs);
		}
		if (forecast.isTooLate(workAhead(request, nowMs) + request.work(), request.startByMs(), nowMs)) {
			return refuse(request, TOO_LATE, nowMs);
		}
		add(request);
		Displaced cheapest = removeExcess(request.organisation(), nowMs);
		if (cheapest == null) {
			return new AdmissionOutcome.Wait();
		}
		if (cheapest.request() == request) {
			return new AdmissionOutcome.Refuse(cheapest.reason(), cheapest.retryAfterMs());
		}
		this.displaced.add(cheapest);
		return new AdmissionOutcome.Wait();
	}

	/**
	 * Returns whether a request was refused because it can no longer start in time, and
	 * not because others came before it.
	 * @param reason reason of the refusal
	 * @return {@code true} if a late start is all that is left
	 */
	public static boolean isTooLate(String reason) {
		return reason.equals(PASSED) || reason.equals(TOO_LATE);
	}

	/**
	 * Returns whether a request may be tried before any waiting one. A request that
	 * arrives while others wait is otherwise offered and tried in its turn, so that it
	 * does not take capacity from a more urgent one.
	 * @param request a request that does not wait
	 * @param nowMs current time, in milliseconds
	 * @return {@code true} if no waiting request comes before it
	 */
	public boolean isNext(AdmissionRequest request, long nowMs) {
		if (this.waiting.isEmpty()) {
			return true;
		}
		for (Map.Entry<Integer, RankWaiting> other : this.ranks.entrySet()) {
			if (other.getKey() != request.rank() && other.getValue().size() > 0) {
				boolean due = other.getValue()
					.first(nowMs)
					.filter((first) -> this.floors.isDue(first.rank(), first.work()))
					.isPresent();
				if (due || other.getKey() < request.rank() && !this.floors.isDue(request.rank(), request.work())) {
					return false;
				}
			}
		}
		RankWaiting rank = this.ranks.get(request.rank());
		return rank == null || rank.isFirst(request, nowMs);
	}

	private AdmissionOutcome.Refuse refuse(AdmissionRequest request, String reason, long nowMs) {
		return new AdmissionOutcome.Refuse(reason, retryAfterMs(request, nowMs));
	}

	private long retryAfterMs(AdmissionRequest request, long nowMs) {
		double queuedWork = 0;
		for (RankWaiting rank : this.ranks.headMap(request.rank(), true).values()) {
			queuedWork += rank.work();
		}
		return this.returns.reserve(request, queuedWork, this.forecast, nowMs);
	}

	// Returns the waiting work that starts before the request. Requests that arrive later
	// can only add to it.
	private double workAhead(AdmissionRequest request, long nowMs) {
		double ahead = 0;
		if (!this.floors.isDue(request.rank(), request.work())) {
			for (RankWaiting urgent : this.ranks.headMap(request.rank()).values()) {
				ahead += urgent.work();
			}
		}
		RankWaiting rank = this.ranks.get(request.rank());
		return (rank != null) ? ahead + rank.workAhead(request, nowMs) : ahead;
	}

	private void add(AdmissionRequest request) {
		this.waiting.put(request.id(), request);
		this.countOfOrganisation.merge(request.organisation(), 1, Integer::sum);
		this.ranks.computeIfAbsent(request.rank(), (rank) -> new RankWaiting(this.settings.shareWindowMs()))
			.add(request);
	}

	// Gives up the cheapest request if the organisation or the waitlist exceeds its
	// limit.
	private Displaced removeExcess(String organisation, long nowMs) {
		boolean tooMany = this.countOfOrganisation.get(organisation) > this.settings.maxWaitingPerOrganisation();
		if (!tooMany && this.waiting.size() <= this.settings.maxWaiting()) {
			return null;
		}
		AdmissionRequest cheapest = (tooMany) ? cheapest(organisation) : cheapest(nowMs);
		remove(cheapest.id());
		return new Displaced(cheapest, (tooMany) ? ORGANISATION_FULL : FULL, retryAfterMs(cheapest, nowMs));
	}

	private AdmissionRequest cheapest(String organisation) {
		return this.ranks.descendingMap()
			.values()
			.stream()
			.map((rank) -> rank.cheapest(organisation))
			.filter(Objects::nonNull)
			.findFirst()
			.orElseThrow();
	}

	private AdmissionRequest cheapest(long nowMs) {
		return this.ranks.descendingMap()
			.values()
			.stream()
			.filter((rank) -> rank.size() > 0)
			.findFirst()
			.orElseThrow()
			.cheapest(nowMs);
	}

	/**
	 * Returns the requests that were given up for others since the last call. The caller
	 * must refuse them.
	 * @return the requests, in the order in which they were given up
	 */
	public List<Displaced> takeDisplaced() {
		List<Displaced> taken = List.copyOf(this.displaced);
		this.displaced.clear();
		return taken;
	}

	/**
	 * Returns all waiting requests in the order in which they should be tried. Requests
	 * whose last start has passed are not contained.
	 * @param nowMs current time, in milliseconds
	 * @return the requests, best first
	 */
	public List<AdmissionRequest> inOrder(long nowMs) {
		return inOrder(nowMs, Integer.MAX_VALUE);
	}

	/**
	 * Returns the first waiting requests in the order in which they should be tried.
	 * @param nowMs current time, in milliseconds
	 * @param limit largest number of requests to return
	 * @return the requests, best first
	 */
	public List<AdmissionRequest> inOrder(long nowMs, int limit) {
		Map<Integer, RankWaiting.Turns> turns = new TreeMap<>();
		this.ranks.forEach((rank, waiting) -> {
			if (waiting.size() > 0) {
				turns.put(rank, waiting.turns(nowMs));
			}
		});
		turns.values().removeIf((rank) -> rank.peek() == null);
		FloorCredits credits = this.floors.copy();
		List<AdmissionRequest> ordered = new ArrayList<>();
		while (!turns.isEmpty() && ordered.size() < limit) {
			int rank = nextRank(turns, credits);
			AdmissionRequest next = turns.get(rank).take(nowMs);
			if (turns.get(rank).peek() == null) {
				turns.remove(rank);
			}
			credits.started(rank, next.work(), nowMs);
			ordered.add(next);
		}
		return ordered;
	}

	// Returns the rank that is owed most by its floor, or the most urgent one if none is
	// owed a request.
	private static int nextRank(Map<Integer, RankWaiting.Turns> turns, FloorCredits credits) {
		int next = -1;
		for (Map.Entry<Integer, RankWaiting.Turns> entry : turns.entrySet()) {
			int rank = entry.getKey();
			boolean due = credits.isDue(rank, entry.getValue().peek().work());
			if (due && (next == -1 || credits.credit(rank) > credits.credit(next))) {
				next = rank;
			}
		}
		return (next != -1) ? next : turns.keySet().iterator().next();
	}

	/**
	 * Removes the requests that can no longer start in time. The caller must refuse them.
	 * @param nowMs current time, in milliseconds
	 * @return the removed requests
	 */
	public List<Displaced> expire(long nowMs) {
		List<Displaced> expired = new ArrayList<>();
		for (AdmissionRequest request : List.copyOf(this.waiting.values())) {
			if (request.startByMs() < nowMs) {
				remove(request.id());
				expired.add(new Displaced(request, PASSED, retryAfterMs(request, nowMs)));
			}
		}
		if (!this.waiting.isEmpty() && nowMs - this.reviewedAtMs >= REVIEW_INTERVAL_MS) {
			this.reviewedAtMs = nowMs;
			double ahead = 0;
			for (AdmissionRequest request : inOrder(nowMs)) {
				if (this.forecast.isTooLate(ahead + request.work(), request.startByMs(), nowMs)) {
					remove(request.id());
					expired.add(new Displaced(request, TOO_LATE, retryAfterMs(request, nowMs)));
				}
				else {
					ahead += request.work();
				}
			}
		}
		return expired;
	}

	/**
	 * Removes every request, for a stop signal. The caller must refuse them.
	 * @param reason reason of the refusal
	 * @return the removed requests, without a retry time
	 */
	public List<Displaced> removeAll(String reason) {
		List<Displaced> removed = new ArrayList<>();
		for (AdmissionRequest request : List.copyOf(this.waiting.values())) {
			remove(request.id());
			removed.add(new Displaced(request, reason, ReturnTime.NO_RETRY));
		}
		return removed;
	}

	/**
	 * Removes a request without counting it as started: its caller left.
	 * @param id identifier of the request
	 * @return {@code true} if the request was waiting
	 */
	public boolean remove(String id) {
		AdmissionRequest request = this.waiting.remove(id);
		if (request == null) {
			return false;
		}
		this.countOfOrganisation.computeIfPresent(request.organisation(),
				(name, count) -> (count > 1) ? count - 1 : null);
		this.ranks.get(request.rank()).remove(request);
		return true;
	}

	/**
	 * Records that a request started, and removes it if it was waiting. To be called for
	 * requests that started without waiting too, because floors and the shares of
	 * organisations count all started work.
	 * @param request the request
	 * @param nowMs current time, in milliseconds
	 * @return {@code true} if the request was waiting
	 */
	public boolean recordStart(AdmissionRequest request, long nowMs) {
		boolean waited = remove(request.id());
		this.floors.demand(request.rank(), request.work(), nowMs);
		this.floors.started(request.rank(), request.work(), nowMs);
		this.ranks.computeIfAbsent(request.rank(), (rank) -> new RankWaiting(this.settings.shareWindowMs()))
			.recordStart(request, nowMs);
		this.returns.recordStart(request.rank(), request.work(), nowMs);
		return waited;
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	public int size() {
		return this.waiting.size();
	}

	/**
	 * Returns the number of waiting requests of a rank.
	 * @param rank the rank
	 * @return the number
	 */
	public int size(int rank) {
		RankWaiting waiting = this.ranks.get(rank);
		return (waiting != null) ? waiting.size() : 0;
	}

	/**
	 * Returns how long the request that arrived first has waited.
	 * @param nowMs current time, in milliseconds
	 * @return the time in milliseconds, 0 if nothing waits
	 */
	public long oldestWaitMs(long nowMs) {
		long oldestMs = 0;
		for (AdmissionRequest request : this.waiting.values()) {
			oldestMs = Math.max(oldestMs, nowMs - request.arrivedAtMs());
		}
		return oldestMs;
	}

}
