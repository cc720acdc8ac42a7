package org.medlardrum.decisions.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Replays callers against hosts that share one pool, in steps of 10 ms. A start that the
 * pool has no capacity for is refused by it, as an engine does, and corrects the view of
 * the host.
 */
final class AdmissionReplay {

	private static final int STEP_MS = 10;

	private static final int EXCHANGE_MS = 250;

	private final List<ReplayPolicy> hosts = new ArrayList<>();

	private final ReplayLoad load;

	private final PriorityQueue<Attempt> arrivals = new PriorityQueue<>(
			Comparator.comparingLong(Attempt::atMs).thenComparing(Attempt::id));

	private final PriorityQueue<Running> running = new PriorityQueue<>(
			Comparator.comparingLong(Running::endMs).thenComparing((entry) -> entry.attempt.id()));

	private final Map<String, Attempt> attempts = new HashMap<>();

	private final Set<Caller> served = new HashSet<>();

	private final Set<Caller> servedOnTime = new HashSet<>();

	private final Set<String> refused = new HashSet<>();

	private final double[] viewedWork;

	private double usedWork;

	private int poolRefusals;

	private int refusedAgain;

	private AdmissionReplay(ReplayLoad load, Supplier<? extends ReplayPolicy> policy) {
		for (int i = 0; i < load.hosts(); i++) {
			this.hosts.add(policy.get());
		}
		this.load = load;
		this.viewedWork = new double[load.hosts()];
		load.callers().forEach((caller) -> this.arrivals.add(new Attempt(caller, 0, caller.arrivesMs())));
	}

	// Runs until the last caller has given up.
	static AdmissionReplay run(ReplayLoad load, Supplier<? extends ReplayPolicy> policy) {
		AdmissionReplay replay = new AdmissionReplay(load, policy);
		for (long nowMs = 0; nowMs < load.durationMs() + load.timeoutMs(); nowMs += STEP_MS) {
			replay.step(nowMs);
		}
		return replay;
	}

	static AdmissionReplay runEarlier(ReplayLoad load) {
		return run(load, () -> new ReplayPolicy() {
		});
	}

	private void step(long nowMs) {
		while (!this.running.isEmpty() && this.running.peek().endMs() <= nowMs) {
			Running ended = this.running.poll();
			this.usedWork -= ended.request().work();
			int host = ended.attempt().caller().host();
			this.hosts.get(host).ended(ended.request(), nowMs);
			this.viewedWork[host] -= ended.request().work();
		}
		for (int i = 0; i < this.hosts.size(); i++) {
			if (this.load.viewAgeMs() == 0 || nowMs % this.load.viewAgeMs() == 0) {
				this.viewedWork[i] = this.usedWork;
			}
			if (nowMs % Math.max(EXCHANGE_MS, this.load.viewAgeMs()) == 0) {
				this.hosts.get(i).exchange(this.hosts, nowMs);
			}
		}
		while (!this.arrivals.isEmpty() && this.arrivals.peek().atMs() <= nowMs) {
			arrive(this.arrivals.poll(), nowMs);
		}
		for (int i = 0; i < this.hosts.size(); i++) {
			// A different host is first in each step.
			ReplayPolicy host = this.hosts.get((int) ((i + nowMs / STEP_MS) % this.hosts.size()));
			host.expire(nowMs).forEach((refusal) -> refuse(refusal, nowMs));
			for (AdmissionRequest next : host.inOrder(nowMs)) {
				start(next, nowMs);
			}
		}
	}

	private void arrive(Attempt attempt, long nowMs) {
		Caller caller = attempt.caller();
		ReplayPolicy host = this.hosts.get(caller.host());
		long startByMs = Math.min(nowMs + caller.budgetMs(), caller.arrivesMs() + this.load.timeoutMs());
		AdmissionRequest request = new AdmissionRequest(attempt.id(), caller.rank(), caller.organisation(),
				caller.work(), nowMs, startByMs);
		this.attempts.put(attempt.id(), attempt);
		host.arrived(request, nowMs);
		if (!host.isNext(request, nowMs) || !start(request, nowMs)) {
			host.offer(request, nowMs).forEach((refusal) -> refuse(refusal, nowMs));
		}
	}

	private boolean start(AdmissionRequest request, long nowMs) {
		if (request.startByMs() < nowMs || this.refused.contains(request.id())) {
			throw new IllegalStateException(request + " is started late or after its refusal");
		}
		Attempt attempt = this.attempts.get(request.id());
		Caller caller = attempt.caller();
		ReplayPolicy host = this.hosts.get(caller.host());
		double capacity = this.load.capacityWork().applyAsDouble(nowMs);
		double limit = capacity * (1 - host.reservedShare(request, capacity, nowMs));
		if (this.viewedWork[caller.host()] + request.work() > limit) {
			return false;
		}
		if (this.usedWork + request.work() > capacity) {
			this.poolRefusals++;
			this.viewedWork[caller.host()] = this.usedWork;
			return false;
		}
		this.usedWork += request.work();
		for (int i = 0; i < this.viewedWork.length; i++) {
			this.viewedWork[i] += (this.load.viewAgeMs() == 0 || i == caller.host()) ? request.work() : 0;
		}
		this.running.add(new Running(attempt, request, nowMs + caller.durationMs()));
		host.started(request, nowMs + caller.durationMs(), nowMs);
		this.served.add(caller);
		if (nowMs <= caller.arrivesMs() + caller.budgetMs()) {
			this.servedOnTime.add(caller);
		}
		return true;
	}

	private void refuse(Displaced refusal, long nowMs) {
		if (!this.refused.add(refusal.request().id())) {
			throw new IllegalStateException(refusal + " is refused twice");
		}
		Attempt attempt = this.attempts.get(refusal.request().id());
		Caller caller = attempt.caller();
		this.refusedAgain += (attempt.number() > caller.immediateRetries()) ? 1 : 0;
		long remainingMs = caller.arrivesMs() + this.load.timeoutMs() - nowMs;
		if (attempt.number() < caller.immediateRetries()) {
			this.arrivals.add(new Attempt(caller, attempt.number() + 1, nowMs + STEP_MS));
		}
		else if (refusal.retryAfterMs() != ReturnTime.NO_RETRY && remainingMs > 300) {
			long afterMs = Math.min(refusal.retryAfterMs(), remainingMs / 3);
			this.arrivals.add(new Attempt(caller, attempt.number() + 1, nowMs + afterMs));
		}
	}

	// Returns the share of the matching callers that were served by any of their
	// attempts.
	double servedShare(Predicate<Caller> matching) {
		long all = this.load.callers().stream().filter(matching).count();
		return this.served.stream().filter(matching).count() / (double) all;
	}

	// Returns the share of the matching callers that were served within the target of
	// their first attempt.
	double onTimeShare(Predicate<Caller> matching) {
		long all = this.load.callers().stream().filter(matching).count();
		return this.servedOnTime.stream().filter(matching).count() / (double) all;
	}

	// Returns how often a caller that returned as told was refused again.
	int refusedAgain() {
		return this.refusedAgain;
	}

	int poolRefusals() {
		return this.poolRefusals;
	}

	record Caller(int number, int host, int rank, String organisation, double work, long durationMs, long arrivesMs,
			long budgetMs, int immediateRetries) {
	}

	private record Attempt(Caller caller, int number, long atMs) {

		String id() {
			return this.caller.number() + "-" + this.number;
		}

	}

	private record Running(Attempt attempt, AdmissionRequest request, long endMs) {
	}

}
