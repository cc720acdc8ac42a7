package org.medlardrum.entry.internal.service;

import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.medlardrum.entry.internal.fleet.Fleet;
import org.medlardrum.entry.internal.fleet.ServiceState;
import org.medlardrum.entry.internal.host.Metrics;
import org.medlardrum.entry.internal.host.Retries;
import org.medlardrum.entry.internal.host.Traces;
import org.medlardrum.state.CircuitState;
import org.medlardrum.state.Outcome;
import org.medlardrum.transport.ServiceClient;
import org.medlardrum.transport.ServiceResponse;
import org.tinylog.Logger;

/**
 * Executes plain-service calls with retries. A non-idempotent call is retried only when
 * the server did not run it. Thread-safe.
 */
public final class ServiceExecutor {

	private static final int FIRST_SERVER_ERROR = 500;

	private static final long NO_SERVER_RETRY_MS = 1000;

	private final ServiceClient client;

	private final Fleet fleet;

	private final Retries retries;

	private final CallTimes callTimes;

	private final Traces traces;

	private final Metrics metrics;

	private final InstantSource clock;

	/**
	 * Creates an executor for any number of calls.
	 * @param client sends the calls to the servers
	 * @param fleet last reported state of the servers
	 * @param retries retry budget of the host
	 * @param callTimes records the durations of calls
	 * @param traces records the history of requests
	 * @param metrics the metrics of the host
	 * @param clock the clock
	 */
	public ServiceExecutor(ServiceClient client, Fleet fleet, Retries retries, CallTimes callTimes, Traces traces,
			Metrics metrics, InstantSource clock) {
		this.client = client;
		this.fleet = fleet;
		this.retries = retries;
		this.callTimes = callTimes;
		this.traces = traces;
		this.metrics = metrics;
		this.clock = clock;
	}

	/**
	 * Executes a call, with retries, until it completes or fails.
	 * @param job the call
	 * @return the outcome of the last attempt, {@code MayHaveRun} if any attempt may have
	 * run
	 */
	public Outcome<ServiceResponse> execute(ServiceJob job) {
		Set<String> excluded = new HashSet<>();
		String mayHaveRun = null;
		this.retries.onFirstAttempt();
		for (int attempt = 1;; attempt++) {
			Outcome<ServiceResponse> outcome = attempt(job, excluded, attempt);
			if (outcome instanceof Outcome.Completed<ServiceResponse>) {
				return outcome;
			}
			if (outcome instanceof Outcome.MayHaveRun<ServiceResponse> unclear) {
				mayHaveRun = unclear.reason();
			}
			boolean canRetry = job.idempotent() || mayHaveRun == null;
			if (!canRetry || Thread.currentThread().isInterrupted() || this.clock.millis() >= job.deadlineMs()
					|| !this.retries.tryRetry(attempt) || !sleepBeforeRetry(attempt)) {
				return (mayHaveRun != null) ? new Outcome.MayHaveRun<>(mayHaveRun) : outcome;
			}
			this.metrics.retry("service");
		}
	}

	private Outcome<ServiceResponse> attempt(ServiceJob job, Set<String> excluded, int number) {
		ServiceState chosen = chooseServer(job.pool(), excluded);
		long remainingMs = job.deadlineMs() - this.clock.millis();
		if (chosen == null) {
			excluded.clear();
			return new Outcome.NotRun<>("pool \"" + job.pool() + "\" has no usable server", NO_SERVER_RETRY_MS);
		}
		if (remainingMs <= 0) {
			return new Outcome.NotRun<>("the timeout of the route passed", 0);
		}
		String server = chosen.server().id();
		long id = this.fleet.attemptStarted(List.of(server), job.fingerprint());
		Outcome<ServiceResponse> outcome;
		long startNs = System.nanoTime();
		try {
			outcome = this.client.call(chosen.server().address(), job.httpRequest(), remainingMs);
		}
		finally {
			this.fleet.attemptEnded(List.of(server), id);
		}
		this.callTimes.record(job.pool(), (System.nanoTime() - startNs) / 1e6);
		recordResult(job, server, number, outcome);
		if (!(outcome instanceof Outcome.Completed<ServiceResponse>)) {
			excluded.add(server);
		}
		return outcome;
	}

	private void recordResult(ServiceJob job, String server, int number, Outcome<ServiceResponse> outcome) {
		String text = switch (outcome) {
			case Outcome.Completed<ServiceResponse> completed -> "status " + completed.value().status();
			case Outcome.NotRun<ServiceResponse> notRun -> "not run: " + notRun.reason();
			case Outcome.MayHaveRun<ServiceResponse> unclear -> "may have run: " + unclear.reason();
		};
		boolean callerDisconnected = Thread.currentThread().isInterrupted();
		if (!callerDisconnected) {
			this.fleet.recordResult(server, outcome instanceof Outcome.Completed<ServiceResponse> completed
					&& completed.value().status() < FIRST_SERVER_ERROR);
		}
		if (!(outcome instanceof Outcome.Completed<ServiceResponse>)) {
			Logger.info("http: request {} attempt {} failed on {}: {}", job.requestId(), number, server, text);
		}
		this.traces.recordEvent(job.requestId(), "attempt " + number, server + ": " + text);
	}

	private boolean sleepBeforeRetry(int attempt) {
		try {
			Thread.sleep(this.retries.delayMs(attempt));
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	// Chooses the server with the fewest calls in flight from this host; ties are
	// broken at random.
	private ServiceState chooseServer(String pool, Set<String> excluded) {
		ServiceState best = null;
		int ties = 0;
		for (ServiceState state : this.fleet.view().services().getOrDefault(pool, List.of())) {
			if (state.leaving() || state.circuit() == CircuitState.OPEN || excluded.contains(state.server().id())) {
				continue;
			}
			if (best == null || state.ownInFlight() < best.ownInFlight()) {
				best = state;
				ties = 1;
			}
			else if (state.ownInFlight() == best.ownInFlight() && ThreadLocalRandom.current().nextInt(++ties) == 0) {
				best = state;
			}
		}
		return best;
	}

}
