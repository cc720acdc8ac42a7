package org.medlardrum.gateway.internal.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

import org.medlardrum.decisions.admission.AdmissionOutcome;
import org.medlardrum.decisions.admission.AdmissionRequest;
import org.medlardrum.decisions.admission.AdmissionSettings;
import org.medlardrum.decisions.admission.AdmissionWaitlist;
import org.medlardrum.decisions.admission.Displaced;
import org.medlardrum.decisions.admission.ReservedRoom;
import org.medlardrum.decisions.admission.ReturnTime;
import org.medlardrum.decisions.admission.RoomForecast;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.protocol.problem.ProblemType;

/**
 * Requests of one service that wait at this host, and what the host knows of the
 * service's capacity.
 */
final class ServiceAdmission {

	/**
	 * Limit of requests of one rank that are tried in vain in one round. If one request
	 * finds no capacity, others of its rank hardly do; the second one is tried because
	 * the first may exclude servers that have refused it.
	 */
	private static final int MAX_FAILURES_PER_RANK = 2;

	/**
	 * Limit of requests that are tried in vain in one round. A search in vain among 99
	 * engines takes 30 to 80 us, without the sum of the loads of all hosts.
	 */
	private static final int MAX_FAILURES = 4;

	/**
	 * Limit of requests started in one round, in which the event loop does nothing else.
	 */
	private static final int MAX_STARTS = 16;

	/** Weight of the latest duration in the mean ratio of duration and estimate. */
	private static final double DURATION_WEIGHT = 0.05;

	private static final String PART = "admission";

	private static final String REFUSE_EVENT = "refuse";

	private final String name;

	private final LongSupplier clockMs;

	private final DoubleSupplier capacityWork;

	private final Runnable waitListener;

	private final DecisionLog log;

	private final AdmissionWaitlist waitlist;

	private final RoomForecast forecast = new RoomForecast();

	private final ReservedRoom reservedRoom;

	private final Map<String, RequestAdmission> waiting = new HashMap<>();

	/** Mean ratio of the durations of requests and their estimates. */
	private double durationRatio = 1;

	/**
	 * Creates the admission of a service for which no request waits.
	 * @param name name of the service
	 * @param settings limits of the service at this host
	 * @param clockMs the monotonic clock
	 * @param capacityWork work that the service holds at once
	 * @param waitListener runs when a request begins to wait
	 * @param log the log
	 */
	ServiceAdmission(String name, AdmissionSettings settings, LongSupplier clockMs, DoubleSupplier capacityWork,
			Runnable waitListener, DecisionLog log) {
		this.name = name;
		this.clockMs = clockMs;
		this.capacityWork = capacityWork;
		this.waitListener = waitListener;
		this.log = log;
		this.waitlist = new AdmissionWaitlist(settings);
		this.reservedRoom = new ReservedRoom(settings);
	}

	void recordArrival(AdmissionRequest request) {
		this.reservedRoom.recordArrival(request.rank(), request.work(), this.clockMs.getAsLong());
	}

	/**
	 * Returns whether a request may be tried before the waiting ones.
	 * @param request the request
	 * @return {@code false} if a waiting request comes before it
	 */
	boolean isNext(AdmissionRequest request) {
		return this.waitlist.isNext(request, this.clockMs.getAsLong());
	}

	String offer(RequestAdmission admission, WaitingRequest next) {
		long nowMs = this.clockMs.getAsLong();
		// After a suspension, the work of requests that are too late must not count.
		if (earliestStartByMs() < nowMs) {
			expire(nowMs);
		}
		AdmissionOutcome outcome = this.waitlist.offer(admission.request(), this.forecast, nowMs);
		if (outcome instanceof AdmissionOutcome.Wait) {
			this.waiting.put(admission.request().id(), admission);
			admission.setWaiting(next);
			this.log.event(PART, "wait", "id", admission.requestId(), "service", this.name, "rank",
					admission.request().rank(), "organisation", admission.request().organisation(), "work",
					Math.round(admission.request().work()), "forMs", admission.request().startByMs() - nowMs, "waiting",
					this.waiting.size());
			this.waitListener.run();
		}
		this.waitlist.takeDisplaced().forEach((displaced) -> refuse(displaced, "displace"));
		return switch (outcome) {
			case AdmissionOutcome.Wait wait -> null;
			case AdmissionOutcome.Refuse refuse -> {
				yield startLateOrRefuse(admission, next, REFUSE_EVENT, refuse.reason(), refuse.retryAfterMs());
			}
		};
	}

	/**
	 * Starts waiting requests for which capacity is free, and refuses those that cannot
	 * start in time. A request whose last start has passed is not tried. A request that
	 * is too late only by the forecast is tried before it is refused, because capacity
	 * may be free already.
	 * @return {@code true} if another round may start more requests
	 */
	boolean runRound() {
		long nowMs = this.clockMs.getAsLong();
		boolean more = startFree(nowMs);
		if (!more) {
			expire(nowMs);
		}
		return more;
	}

	// After each start the order is determined again, because it depends on the work that
	// was started.
	private boolean startFree(long nowMs) {
		Map<Integer, Integer> failures = new HashMap<>();
		Set<String> tried = new HashSet<>();
		for (int started = 0; started < MAX_STARTS;) {
			Optional<RequestAdmission> next = findNext(nowMs, tried, failures);
			if (next.isEmpty() || tried.size() - started >= MAX_FAILURES) {
				return false;
			}
			tried.add(next.get().request().id());
			WaitingRequest request = next.get().waiting();
			request.run(() -> {
				String outcome = request.recheck();
				return (outcome != null) ? outcome : request.tryStart();
			});
			if (next.get().isWaiting()) {
				failures.merge(next.get().request().rank(), 1, Integer::sum);
			}
			else {
				started++;
			}
		}
		return true;
	}

	private Optional<RequestAdmission> findNext(long nowMs, Set<String> tried, Map<Integer, Integer> failures) {
		return this.waitlist.inOrder(nowMs)
			.stream()
			.filter((request) -> this.waiting.containsKey(request.id()) && !tried.contains(request.id())
					&& failures.getOrDefault(request.rank(), 0) < MAX_FAILURES_PER_RANK)
			.findFirst()
			.map((request) -> this.waiting.get(request.id()));
	}

	/**
	 * Refuses the requests that cannot be started in time any more.
	 * @param nowMs current time on the monotonic clock
	 */
	private void expire(long nowMs) {
		if (!this.waiting.isEmpty()) {
			this.waitlist.expire(nowMs).forEach((displaced) -> refuse(displaced, REFUSE_EVENT));
		}
	}

	private void refuse(Displaced displaced, String event) {
		RequestAdmission admission = this.waiting.remove(displaced.request().id());
		if (admission != null) {
			WaitingRequest request = admission.waiting();
			admission.setWaiting(null);
			request
				.run(() -> startLateOrRefuse(admission, request, event, displaced.reason(), displaced.retryAfterMs()));
		}
	}

	private String startLateOrRefuse(RequestAdmission admission, WaitingRequest request, String event, String reason,
			long returnAfterMs) {
		if (AdmissionWaitlist.isTooLate(reason) && request.startLate()) {
			return null;
		}
		long nowMs = this.clockMs.getAsLong();
		long retryAfterMs = retryAfterMs(admission, returnAfterMs, nowMs);
		logRefusal(admission, event, reason, retryAfterMs, nowMs);
		return request.refuse(ProblemType.OVERLOADED, reason, retryAfterMs);
	}

	private static void end(RequestAdmission admission, ProblemType type, String reason, long retryAfterMs) {
		WaitingRequest request = admission.waiting();
		admission.setWaiting(null);
		request.run(() -> request.refuse(type, reason, retryAfterMs));
	}

	private static long retryAfterMs(RequestAdmission admission, long retryAfterMs, long nowMs) {
		return ReturnTime.retryAfterMs(retryAfterMs, admission.deadlineAtMs() - nowMs).orElse(0);
	}

	private void logRefusal(RequestAdmission admission, String event, String reason, long retryAfterMs, long nowMs) {
		AdmissionRequest request = admission.request();
		this.log.event(PART, event, "id", admission.requestId(), "service", this.name, "rank", request.rank(),
				"organisation", request.organisation(), "work", Math.round(request.work()), "waitedMs",
				nowMs - request.arrivedAtMs(), "reason", reason, "retryAfterMs", retryAfterMs, "waiting",
				this.waiting.size());
	}

	/**
	 * Refuses all waiting requests because the host stops.
	 * @param retryAfterMs supplies the time after which each caller may retry
	 */
	void stop(LongSupplier retryAfterMs) {
		this.waitlist.removeAll("host-stops");
		List<RequestAdmission> all = new ArrayList<>(this.waiting.values());
		this.waiting.clear();
		for (RequestAdmission admission : all) {
			long afterMs = retryAfterMs.getAsLong();
			logRefusal(admission, REFUSE_EVENT, "host-stops", afterMs, this.clockMs.getAsLong());
			end(admission, ProblemType.DRAINING, "The host stops", afterMs);
		}
	}

	/**
	 * Ends the waiting requests that the configuration does not admit any more.
	 */
	void recheck() {
		for (RequestAdmission admission : List.copyOf(this.waiting.values())) {
			WaitingRequest request = admission.waiting();
			if (request != null) {
				request.run(request::recheck);
			}
		}
	}

	/**
	 * Removes a request that has ended.
	 * @param admission the request
	 */
	void leave(RequestAdmission admission) {
		if (this.waiting.remove(admission.request().id(), admission)) {
			admission.setWaiting(null);
			this.waitlist.remove(admission.request().id());
		}
	}

	long recordStart(RequestAdmission admission, long estimateMs, boolean first) {
		long nowMs = this.clockMs.getAsLong();
		AdmissionRequest request = admission.request();
		boolean waited = this.waiting.remove(request.id(), admission);
		admission.setWaiting(null);
		this.forecast.recordStart(request.id(), request.rank(), request.work(),
				nowMs + Math.round(estimateMs * this.durationRatio));
		if (first) {
			this.waitlist.recordStart(request, nowMs);
			this.reservedRoom.recordStart(request, nowMs);
		}
		else {
			this.waitlist.remove(request.id());
		}
		if (waited) {
			this.log.event(PART, "start", "id", admission.requestId(), "service", this.name, "rank", request.rank(),
					"organisation", request.organisation(), "work", Math.round(request.work()), "waitedMs",
					nowMs - request.arrivedAtMs(), "waiting", this.waiting.size());
		}
		return nowMs;
	}

	void recordEnd(RequestAdmission admission, boolean complete) {
		long nowMs = this.clockMs.getAsLong();
		this.forecast.recordEnd(admission.request().id(), nowMs);
		if (complete) {
			double ratio = (double) (nowMs - admission.startedAtMs()) / admission.estimateMs();
			this.durationRatio += DURATION_WEIGHT * (ratio - this.durationRatio);
		}
	}

	/**
	 * Returns the share of the capacity that a request leaves to others.
	 * @param rank rank of the request
	 * @param organisation organisation of the caller
	 * @return the share
	 */
	double reservedShare(int rank, String organisation) {
		return this.reservedRoom.share(new AdmissionRequest("", rank, organisation, 1, 0, 0),
				this.capacityWork.getAsDouble(), this.clockMs.getAsLong());
	}

	/**
	 * Returns the share of the capacity that work of a rank leaves to more urgent ranks.
	 * @param rank the rank
	 * @return the share
	 */
	double reservedShare(int rank) {
		return this.reservedRoom.share(rank, this.capacityWork.getAsDouble(), this.clockMs.getAsLong());
	}

	/**
	 * Returns the demand at this host.
	 * @param ranks number of ranks
	 * @return the demand of each rank that has any, the most urgent rank first
	 */
	List<DemandReport> demand(int ranks) {
		long nowMs = this.clockMs.getAsLong();
		List<DemandReport> reports = new ArrayList<>();
		double servedPerS = this.forecast.servedWorkPerS(nowMs);
		for (int rank = 0; rank < ranks; rank++) {
			double demandPerS = this.reservedRoom.ownDemandPerS(rank, nowMs);
			if (demandPerS > 0) {
				reports.add(new DemandReport(this.name, rank, demandPerS, (reports.isEmpty()) ? servedPerS : 0));
			}
		}
		return reports;
	}

	/**
	 * Records the demand at another host.
	 * @param hostId identifier of the host
	 * @param reports its reports for this service
	 */
	void updatePeer(String hostId, List<DemandReport> reports) {
		long nowMs = this.clockMs.getAsLong();
		reports
			.forEach((report) -> this.reservedRoom.updatePeerDemand(hostId, report.rank(), report.demandPerS(), nowMs));
		this.forecast.updatePeerRate(hostId, reports.stream().mapToDouble(DemandReport::servedPerS).sum(), nowMs);
	}

	int size() {
		return this.waiting.size();
	}

	int size(int rank) {
		return this.waitlist.size(rank);
	}

	long oldestWaitMs() {
		return this.waitlist.oldestWaitMs(this.clockMs.getAsLong());
	}

	/**
	 * Returns the earliest last start of the waiting requests.
	 * @return time on the monotonic clock, {@link Long#MAX_VALUE} if none waits
	 */
	long earliestStartByMs() {
		return this.waiting.values()
			.stream()
			.mapToLong((admission) -> admission.request().startByMs())
			.min()
			.orElse(Long.MAX_VALUE);
	}

}
