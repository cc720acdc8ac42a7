package org.medlardrum.standins.internal.load;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import com.google.gson.JsonObject;

/**
 * Sends the requests of a schedule at their intended times, whether or not earlier ones
 * have ended. Latencies count from the intended start.
 */
public final class OpenLoopGenerator {

	private final Mix mix;

	private final long seed;

	private final int maxInFlight;

	private final Targets targets;

	private final Caller caller;

	private final ServiceAudit audit;

	private final LoadStats stats;

	private long startNs;

	/**
	 * Creates a run.
	 * @param mix the mix with its phases
	 * @param targets addresses of the entry hosts
	 * @param seed seed of the arrivals
	 * @param maxInFlight largest number of requests in flight; further ones are not sent
	 */
	public OpenLoopGenerator(Mix mix, List<String> targets, long seed, int maxInFlight) {
		if (mix.phases().isEmpty()) {
			throw new IllegalArgumentException("The mix has no phases");
		}
		// The run's identifier also holds the time, as services count over several runs.
		String runId = "load-" + seed + "-" + System.currentTimeMillis();
		this.mix = mix;
		this.seed = seed;
		this.maxInFlight = maxInFlight;
		this.targets = new Targets(targets);
		this.caller = new Caller(this.targets, runId);
		this.audit = new ServiceAudit(runId);
		this.stats = new LoadStats(mix.phases());
	}

	/**
	 * Runs the whole schedule and waits until every request has ended.
	 * @param serviceAddresses addresses of the plain services, for the check of their
	 * executions
	 * @return the report
	 * @throws Exception if a plain service cannot be asked for its executions
	 */
	public JsonObject run(List<String> serviceAddresses) throws Exception {
		Semaphore inFlight = new Semaphore(this.maxInFlight);
		Schedule schedule = new Schedule(this.mix, this.seed);
		this.startNs = System.nanoTime();
		try (this.targets; ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
			Arrival arrival;
			while ((arrival = schedule.next()) != null) {
				sleepUntil(this.startNs + arrival.atNs());
				send(arrival, inFlight, threads);
			}
			threads.shutdown();
			threads.awaitTermination(1, TimeUnit.HOURS);
			JsonObject json = this.stats.toJson();
			json.addProperty("seed", this.seed);
			json.addProperty("elapsedMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNs));
			if (!serviceAddresses.isEmpty()) {
				json.add("services", this.audit.audit(serviceAddresses));
			}
			return json;
		}
	}

	private void send(Arrival arrival, Semaphore inFlight, ExecutorService threads) {
		if (!inFlight.tryAcquire()) {
			this.stats.each(arrival, GroupStats::notSent);
			return;
		}
		this.stats.each(arrival, GroupStats::sent);
		threads.execute(() -> {
			try {
				perform(arrival);
			}
			finally {
				inFlight.release();
			}
		});
	}

	private void perform(Arrival arrival) {
		int target = this.targets.pick();
		TokenTimes times = new TokenTimes(arrival, this.stats, this.startNs);
		CallResult result = this.caller.call(arrival, target, times);
		int tries = 1;
		if (result.isWorthASecondTry() && arrival.route().mayRepeat()) {
			tries++;
			times = new TokenTimes(arrival, this.stats, this.startNs);
			result = this.caller.call(arrival, this.targets.other(target), times);
		}
		finish(arrival, result, times, tries);
	}

	private void finish(Arrival arrival, CallResult result, TokenTimes times, int tries) {
		MixRoute route = arrival.route();
		long nowNs = System.nanoTime() - this.startNs;
		long cost = (route.isModel()) ? (long) result.tokens() * route.layers() : 0;
		long firstNs = (times.firstNs() >= 0) ? times.firstNs() : nowNs;
		long firstUs = TimeUnit.NANOSECONDS.toMicros(Math.max(0, firstNs - arrival.atNs()));
		boolean inTarget = (route.targetMs() <= 0 || firstUs <= route.targetMs() * 1000)
				&& (route.betweenTokensTargetMs() <= 0
						|| times.meanBetweenUs() <= route.betweenTokensTargetMs() * 1000);
		boolean secondTry = tries > 1;
		this.stats.each(arrival, (group) -> group.ended(result, secondTry, firstUs, inTarget, cost));
		if (result.outcome() == Outcome.WHOLE) {
			this.stats.completed(route, nowNs, cost);
			if (!route.stream()) {
				this.stats.delivered(route, nowNs, cost);
			}
		}
		if (!route.isModel()) {
			this.audit.record(arrival, result, tries);
		}
	}

	private static void sleepUntil(long atNs) throws InterruptedException {
		long leftNs = atNs - System.nanoTime();
		if (leftNs > 0) {
			TimeUnit.NANOSECONDS.sleep(leftNs);
		}
	}

}
