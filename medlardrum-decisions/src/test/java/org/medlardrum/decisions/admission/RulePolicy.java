package org.medlardrum.decisions.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One of the ordering rules that were weighed: rank first, then the rule over all
 * requests of the rank, without floors and organisations. Reserved capacity and forecasts
 * are those of the package.
 */
final class RulePolicy extends WaitlistPolicy {

	private final Rule rule;

	private final List<AdmissionRequest> waiting = new ArrayList<>();

	private final Map<String, Double> startTags = new HashMap<>();

	private final Map<String, Double> finishTags = new HashMap<>();

	private double virtualWork;

	RulePolicy(Rule rule) {
		super(false);
		this.rule = rule;
	}

	@Override
	public boolean isNext(AdmissionRequest request, long nowMs) {
		return this.waiting.isEmpty();
	}

	@Override
	public List<Displaced> offer(AdmissionRequest request, long nowMs) {
		double start = Math.max(this.virtualWork, this.finishTags.getOrDefault(request.organisation(), 0.0));
		this.startTags.put(request.id(), start);
		this.finishTags.put(request.organisation(), start + request.work());
		this.waiting.add(request);
		return List.of();
	}

	@Override
	public List<Displaced> expire(long nowMs) {
		List<Displaced> expired = new ArrayList<>();
		for (AdmissionRequest request : List.copyOf(this.waiting)) {
			if (request.startByMs() < nowMs) {
				this.waiting.remove(request);
				expired.add(new Displaced(request, "late", ReturnTime.NO_RETRY));
			}
		}
		return expired;
	}

	@Override
	public List<AdmissionRequest> inOrder(long nowMs) {
		Comparator<AdmissionRequest> byRule = switch (this.rule) {
			case EARLIEST_DEADLINE -> Comparator.comparingLong(AdmissionRequest::startByMs);
			case LEAST_SLACK_PER_WORK ->
				Comparator.comparingDouble((request) -> (request.startByMs() - nowMs) / request.work());
			// A wait of 100 ms makes up for one unit of work.
			case FAIR_QUEUEING_WITH_AGING -> Comparator.comparingDouble(
					(request) -> this.startTags.get(request.id()) - (nowMs - request.arrivedAtMs()) / 100.0);
		};
		return this.waiting.stream()
			.sorted(Comparator.comparingInt(AdmissionRequest::rank).thenComparing(byRule))
			.toList();
	}

	@Override
	public void started(AdmissionRequest request, long endMs, long nowMs) {
		super.started(request, endMs, nowMs);
		this.waiting.remove(request);
		this.virtualWork = Math.max(this.virtualWork, this.startTags.getOrDefault(request.id(), 0.0));
	}

	enum Rule {

		EARLIEST_DEADLINE, LEAST_SLACK_PER_WORK, FAIR_QUEUEING_WITH_AGING

	}

}
