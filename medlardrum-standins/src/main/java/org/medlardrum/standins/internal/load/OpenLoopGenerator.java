package org.medlardrum.standins.internal.load;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import com.google.gson.JsonObject;

/**
 * Open-loop load generator: sends the requests of a schedule at their scheduled times,
 * whether or not earlier ones have ended. Latencies are measured from the scheduled
 * start.
 */
public final class OpenLoopGenerator {

	private final Mix mix;

	private final long seed;

	private final int maxInFlight;

	private final Targets targets;

	private final RequestSender sender;

	private final ServiceAudit audit;

	private final LoadStats stats;

	private long startNs;

	/**
	 * Creates a run.
	 * @param mix kinds of requests and phases of the schedule
	 * @param targets addresses of the entry hosts
	 * @param seed seed for the random arrivals
	 * @param maxInFlight maximum number of requests in flight; further requests are
	 * counted as not sent
	 */
	public OpenLoopGenerator(Mix mix, List<String> targets, long seed, int maxInFlight) {
		if (mix.phases().isEmpty()) {
			throw new IllegalArgumentException("Mix has no phases; at least one is required");
		}
		// The identifier of the run includes the time because the executions that plain
		// services record span several runs.
		String runId = "load-" + seed + "-" + System.currentTimeMillis();
		this.mix = mix;
		this.seed = seed;
		this.maxInFlight = maxInFlight;
		this.targets = new Targets(targets);
		this.sender = new RequestSender(this.targets, runId);
		this.audit = new ServiceAudit(runId);
		this.stats = new LoadStats(mix.phases());
	}

	/**
	 * Runs the whole schedule and waits until every request has ended.
	 * @param serviceAddresses addresses of the plain services whose executions are
	 * audited, empty for no audit
	 * @return the report
	 * @throws Exception if a plain service does not report its executions
	 */
	public JsonObject run(List<String> serviceAddresses) throws Exception {
		Semaphore inFlight = new Semaphore(this.maxInFlight);
		Schedule schedule = new Schedule(this.mix, this.seed);
		this.startNs = System.nanoTime();
		try (this.targets; ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
			Arrival arrival;
			while ((arrival = schedule.next()) != null) {
				sleepUntil(this.startNs + arrival.atNs());
				send(arrival, inFlight, executor);
			}
			executor.shutdown();
			executor.awaitTermination(1, TimeUnit.HOURS);
			JsonObject json = this.stats.toJson();
			json.addProperty("seed", this.seed);
			json.addProperty("elapsedMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNs));
			if (!serviceAddresses.isEmpty()) {
				json.add("services", this.audit.audit(serviceAddresses));
			}
			return json;
		}
	}

	private void send(Arrival arrival, Semaphore inFlight, ExecutorService executor) {
		if (!inFlight.tryAcquire()) {
			this.stats.forEachGroup(arrival, GroupStats::recordNotSent);
			return;
		}
		this.stats.forEachGroup(arrival, GroupStats::recordSent);
		executor.execute(() -> {
			try {
				sendWithRetry(arrival);
			}
			finally {
				inFlight.release();
			}
		});
	}

	private void sendWithRetry(Arrival arrival) {
		int target = this.targets.nextTarget();
		TokenTimes times = new TokenTimes(arrival, this.stats, this.startNs);
		CallResult result = this.sender.send(arrival, target, times);
		int attempts = 1;
		if (result.isRetryable() && arrival.route().mayRetry()) {
			attempts++;
			times = new TokenTimes(arrival, this.stats, this.startNs);
			result = this.sender.send(arrival, this.targets.nextAfter(target), times);
		}
		recordResult(arrival, result, times, attempts);
	}

	private void recordResult(Arrival arrival, CallResult result, TokenTimes times, int attempts) {
		MixRoute route = arrival.route();
		long nowNs = System.nanoTime() - this.startNs;
		long cost = (route.isModel()) ? (long) result.tokens() * route.layers() : 0;
		long firstTokenNs = (times.firstTokenNs() >= 0) ? times.firstTokenNs() : nowNs;
		long latencyUs = TimeUnit.NANOSECONDS.toMicros(Math.max(0, firstTokenNs - arrival.atNs()));
		boolean withinTarget = (route.targetMs() <= 0 || latencyUs <= route.targetMs() * 1000)
				&& (route.betweenTokensTargetMs() <= 0
						|| times.meanTokenGapUs() <= route.betweenTokensTargetMs() * 1000);
		boolean retried = attempts > 1;
		this.stats.forEachGroup(arrival, (group) -> group.recordResult(result, retried, latencyUs, withinTarget, cost));
		if (result.outcome() == Outcome.COMPLETE) {
			this.stats.recordCompleted(route, nowNs, cost);
			if (!route.stream()) {
				this.stats.recordDelivered(route, nowNs, cost);
			}
		}
		if (!route.isModel()) {
			this.audit.record(arrival, result, attempts);
		}
	}

	private static void sleepUntil(long atNs) throws InterruptedException {
		long remainingNs = atNs - System.nanoTime();
		if (remainingNs > 0) {
			TimeUnit.NANOSECONDS.sleep(remainingNs);
		}
	}

}
