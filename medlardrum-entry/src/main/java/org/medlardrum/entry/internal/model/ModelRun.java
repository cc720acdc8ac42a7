package org.medlardrum.entry.internal.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

import org.medlardrum.decisions.ChainDecision;
import org.medlardrum.decisions.ChainQuery;
import org.medlardrum.entry.internal.fleet.CrashDetector;
import org.medlardrum.entry.internal.fleet.FleetView;
import org.medlardrum.protocol.problem.Problem;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.Chain;
import org.medlardrum.state.FleetSnapshot;
import org.medlardrum.state.Stage;
import org.tinylog.Logger;

/**
 * All attempts of one model request. A failed attempt is resumed on another chain after
 * the tokens that the caller already has. Used by the request's thread.
 */
public final class ModelRun {

	private static final long CANCEL_TIMEOUT_MS = 500;

	/** Bounds how long a caller is held when the engines do not return. */
	private static final long MAX_CHAIN_WAIT_MS = 10_000;

	private static final long CHAIN_WAIT_STEP_MS = 50;

	private final ModelDependencies services;

	private final ModelJob job;

	private final TokenSink sink;

	private final List<String> emitted = new ArrayList<>();

	private final Set<String> excluded = new HashSet<>();

	private boolean suspect;

	private boolean mayHaveRun;

	private int attempts;

	private long waitedMs;

	/**
	 * Creates a run.
	 * @param services what the run needs
	 * @param job the request
	 * @param sink receiver of the tokens
	 */
	public ModelRun(ModelDependencies services, ModelJob job, TokenSink sink) {
		this.services = services;
		this.job = job;
		this.sink = sink;
		this.suspect = services.gossip().isSuspect(job.fingerprint());
	}

	/**
	 * Returns the tokens that the sink has received.
	 * @return the tokens
	 */
	public List<String> emitted() {
		return this.emitted;
	}

	/**
	 * Runs the request to its end.
	 * @return the result
	 */
	public RunResult run() {
		this.services.retries().onFirstAttempt();
		RunResult result = null;
		while (result == null) {
			FleetView view = this.services.fleet().view();
			result = switch (plan(view)) {
				case ChainDecision.Chosen chosen -> afterAttempt(attempt(chosen.chain(), view));
				case ChainDecision.NoChain none -> withoutChain(none);
			};
		}
		return result;
	}

	// Returns null when another attempt may be made.
	private RunResult afterAttempt(AttemptResult result) {
		return switch (result) {
			case AttemptResult.Completed completed -> {
				this.services.gossip().recordCompletion(this.job.fingerprint());
				yield new RunResult.Completed(completed.reason());
			}
			case AttemptResult.Cut cut -> new RunResult.Cut();
			case AttemptResult.Rejected rejected ->
				new RunResult.Failed(problem(ProblemType.BAD_REQUEST, rejected.detail(), 0));
			case AttemptResult.Failed failed -> nextAttempt(failed.code());
		};
	}

	// A request that has not run is refused at once. One that has started waits for a
	// chain, which does not count as an attempt: engines return, and suspects of the same
	// crash run one after the other.
	private RunResult withoutChain(ChainDecision.NoChain none) {
		if (this.attempts == 0) {
			return new RunResult.Failed(problem(ProblemType.NO_CAPACITY, none.reason(), none.retryAfterMs()));
		}
		RunResult end = ended();
		if (end != null) {
			return end;
		}
		if (!this.excluded.isEmpty()) {
			// Excluded engines may be usable again, or the only ones left.
			this.excluded.clear();
			return null;
		}
		if (this.waitedMs >= MAX_CHAIN_WAIT_MS) {
			return new RunResult.Failed(problem(ProblemType.NO_CAPACITY, none.reason(), none.retryAfterMs()));
		}
		this.waitedMs += CHAIN_WAIT_STEP_MS;
		return pause(CHAIN_WAIT_STEP_MS);
	}

	// Returns null when another attempt may be made.
	private RunResult nextAttempt(String failure) {
		RunResult end = ended();
		if (end != null) {
			return end;
		}
		if (!this.services.retries().tryRetry(this.attempts)) {
			return new RunResult.Failed(problem(ProblemType.BACKEND_FAILED,
					"gave up after " + this.attempts + " attempts: " + failure, 1000));
		}
		this.services.metrics().retry("model");
		if (!this.emitted.isEmpty()) {
			this.services.metrics().resume();
		}
		return pause(this.services.retries().delayMs(this.attempts));
	}

	private RunResult ended() {
		long nowMs = this.services.clock().millis();
		long untilMs = this.services.gossip().quarantinedUntilMs(this.job.fingerprint());
		if (untilMs > nowMs) {
			return new RunResult.Failed(
					problem(ProblemType.QUARANTINED, "the request crashed backend servers", untilMs - nowMs));
		}
		if (nowMs >= this.job.deadlineMs()) {
			return new RunResult.Failed(problem(ProblemType.TIMED_OUT, "the timeout of the route passed", 0));
		}
		return null;
	}

	private static RunResult pause(long durationMs) {
		try {
			Thread.sleep(durationMs);
			return null;
		}
		catch (InterruptedException ex) {
			return new RunResult.Cut();
		}
	}

	private Problem problem(ProblemType type, String detail, long retryAfterMs) {
		return new Problem(type, detail, this.job.rank(), (this.mayHaveRun) ? "unknown" : "no", retryAfterMs);
	}

	private ChainDecision plan(FleetView view) {
		FleetSnapshot snapshot = view.engines().get(this.job.pool());
		if (snapshot == null) {
			return new ChainDecision.NoChain("pool \"" + this.job.pool() + "\" has no engines", 1000, List.of());
		}
		ChainQuery query = new ChainQuery(this.job.request(), this.job.model(), this.job.version(), this.job.adapter(),
				this.job.layerCount(), this.job.rank(), this.job.promptTokens(), this.job.maxTokens(), "",
				this.job.fingerprint(), this.suspect || this.services.gossip().isSuspect(this.job.fingerprint()),
				Set.copyOf(this.excluded));
		long seed = ThreadLocalRandom.current().nextLong();
		ChainDecision decision = this.services.planner().plan(query, snapshot, new SplittableRandom(seed));
		this.services.traces().recordDecision(query, snapshot, seed, decision);
		return decision;
	}

	private AttemptResult attempt(Chain chain, FleetView view) {
		this.attempts++;
		List<String> servers = chain.stages().stream().map(Stage::server).distinct().toList();
		long id = this.services.fleet().attemptStarted(servers, this.job.fingerprint());
		servers.forEach((server) -> this.services.crashes().attemptStarted(server, id, this.job.fingerprint()));
		try {
			AttemptResult result = new Attempt(this.services, this.job, chain, this.attempts, this.emitted, this.sink)
				.run();
			record(result, chain, view, servers);
			return result;
		}
		finally {
			servers.forEach((server) -> this.services.crashes().attemptEnded(server, id));
			this.services.fleet().attemptEnded(servers, id);
		}
	}

	private void record(AttemptResult result, Chain chain, FleetView view, List<String> servers) {
		switch (result) {
			case AttemptResult.Completed completed ->
				servers.forEach((server) -> this.services.fleet().recordResult(server, true));
			case AttemptResult.Cut cut -> cancel(chain);
			case AttemptResult.Rejected rejected -> cancel(chain);
			case AttemptResult.Failed failed -> failed(failed, chain, view);
		}
		this.services.traces().recordEvent(this.job.request(), "attempt " + this.attempts, result.toString());
	}

	private void failed(AttemptResult.Failed failed, Chain chain, FleetView view) {
		Logger.info("chain: request {} attempt {} failed on {}: {}", this.job.request(), this.attempts,
				(failed.server().isEmpty()) ? "an unknown engine" : failed.server(), failed.code());
		this.mayHaveRun |= failed.mayHaveRun();
		cancel(chain);
		if (failed.server().isEmpty()) {
			stalled(chain, view);
			return;
		}
		this.excluded.add(failed.server());
		if (failed.serverFault()) {
			this.services.fleet().recordResult(failed.server(), false);
		}
		if (failed.code().startsWith(Attempt.UNREACHABLE)) {
			// The head was down before, so the request was not present at a crash.
			this.services.fleet().recordUnreachable(failed.server());
		}
		if (failed.crashSuspected()) {
			this.suspect |= this.services.crashes().probe(view.engine(failed.server())) == CrashDetector.Health.CRASHED;
		}
	}

	// A stalled chain does not tell which engine failed, so each one is asked. When all
	// answer, a link may have failed, and the next attempt avoids the whole chain.
	private void stalled(Chain chain, FleetView view) {
		List<String> servers = chain.stages().stream().map(Stage::server).distinct().toList();
		Map<String, CrashDetector.Health> healths = new ConcurrentHashMap<>();
		List<Thread> probes = new ArrayList<>();
		for (String server : servers) {
			probes.add(Thread.ofVirtual()
				.name("probe")
				.start(() -> healths.put(server, this.services.crashes().probe(view.engine(server)))));
		}
		for (Thread probe : probes) {
			joinUninterruptibly(probe);
		}
		boolean allAlive = healths.values().stream().allMatch((health) -> health == CrashDetector.Health.ALIVE);
		for (String server : servers) {
			boolean alive = healths.get(server) == CrashDetector.Health.ALIVE;
			if (!alive || allAlive) {
				this.excluded.add(server);
			}
			if (!alive) {
				this.services.fleet().recordResult(server, false);
			}
			this.suspect |= healths.get(server) == CrashDetector.Health.CRASHED;
		}
	}

	private static void joinUninterruptibly(Thread thread) {
		boolean interrupted = false;
		while (thread.isAlive()) {
			try {
				thread.join();
			}
			catch (InterruptedException ex) {
				interrupted = true;
			}
		}
		if (interrupted) {
			Thread.currentThread().interrupt();
		}
	}

	private void cancel(Chain chain) {
		String request = this.job.request();
		int number = this.attempts;
		for (Stage stage : chain.stages()) {
			Thread.ofVirtual()
				.name("cancel")
				.start(() -> this.services.client().cancel(stage.address(), request, number, CANCEL_TIMEOUT_MS));
		}
	}

}
