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
 * Executes one model request. When an attempt fails, the next one resumes on another
 * chain after the tokens that the caller has already received. Used only by the request's
 * thread.
 */
public final class ModelExecution {

	private static final long CANCEL_TIMEOUT_MS = 500;

	/** Bounds how long a caller waits when no chain becomes available again. */
	private static final long MAX_CHAIN_WAIT_MS = 10_000;

	private static final long CHAIN_WAIT_STEP_MS = 50;

	/** Time after which a caller may retry when no better estimate is known. */
	private static final long RETRY_AFTER_MS = 1000;

	private final ModelDependencies dependencies;

	private final ModelJob job;

	private final TokenSink sink;

	private final List<String> emitted = new ArrayList<>();

	private final Set<String> excluded = new HashSet<>();

	private boolean suspect;

	private boolean mayHaveRun;

	private int attempts;

	private long chainWaitMs;

	/**
	 * Creates the execution of one request.
	 * @param dependencies dependencies of the execution
	 * @param job the request
	 * @param sink receives the generated tokens
	 */
	public ModelExecution(ModelDependencies dependencies, ModelJob job, TokenSink sink) {
		this.dependencies = dependencies;
		this.job = job;
		this.sink = sink;
		this.suspect = dependencies.gossip().isSuspect(job.fingerprint());
	}

	/**
	 * Returns the tokens that the sink has received.
	 * @return the tokens
	 */
	public List<String> emitted() {
		return this.emitted;
	}

	/**
	 * Executes the request, with retries, until it completes, fails or its caller
	 * disconnects.
	 * @return the result
	 */
	public ExecutionResult execute() {
		this.dependencies.retries().onFirstAttempt();
		ExecutionResult result = null;
		while (result == null) {
			FleetView view = this.dependencies.fleet().view();
			result = switch (plan(view)) {
				case ChainDecision.Chosen chosen -> onAttemptResult(attempt(chosen.chain(), view));
				case ChainDecision.NoChain none -> onNoChain(none);
			};
		}
		return result;
	}

	// Returns null when another attempt may be made.
	private ExecutionResult onAttemptResult(AttemptResult result) {
		return switch (result) {
			case AttemptResult.Completed completed -> {
				this.dependencies.gossip().recordCompletion(this.job.fingerprint());
				yield new ExecutionResult.Completed(completed.reason());
			}
			case AttemptResult.Cut cut -> new ExecutionResult.CallerDisconnected();
			case AttemptResult.Rejected rejected ->
				new ExecutionResult.Failed(problem(ProblemType.BAD_REQUEST, rejected.detail(), 0));
			case AttemptResult.Failed failed -> prepareRetry(failed.code());
		};
	}

	// A request without an attempt so far is refused immediately. One that has started
	// waits for a chain, because engines restart and suspects of the same crash run one
	// after the other. The wait does not count as an attempt. Returns null when the chain
	// is to be planned again.
	private ExecutionResult onNoChain(ChainDecision.NoChain none) {
		if (this.attempts == 0) {
			return new ExecutionResult.Failed(problem(ProblemType.NO_CAPACITY, none.reason(), none.retryAfterMs()));
		}
		ExecutionResult end = quarantinedOrTimedOut();
		if (end != null) {
			return end;
		}
		if (!this.excluded.isEmpty()) {
			// Excluded engines may be usable again, or be the only ones left.
			this.excluded.clear();
			return null;
		}
		if (this.chainWaitMs >= MAX_CHAIN_WAIT_MS) {
			return new ExecutionResult.Failed(problem(ProblemType.NO_CAPACITY, none.reason(), none.retryAfterMs()));
		}
		this.chainWaitMs += CHAIN_WAIT_STEP_MS;
		return sleep(CHAIN_WAIT_STEP_MS);
	}

	// Returns null when another attempt may be made.
	private ExecutionResult prepareRetry(String failure) {
		ExecutionResult end = quarantinedOrTimedOut();
		if (end != null) {
			return end;
		}
		if (!this.dependencies.retries().tryRetry(this.attempts)) {
			return new ExecutionResult.Failed(problem(ProblemType.BACKEND_FAILED,
					"gave up after " + this.attempts + " attempts: " + failure, RETRY_AFTER_MS));
		}
		this.dependencies.metrics().retry("model");
		if (!this.emitted.isEmpty()) {
			this.dependencies.metrics().resume();
		}
		return sleep(this.dependencies.retries().delayMs(this.attempts));
	}

	private ExecutionResult quarantinedOrTimedOut() {
		long nowMs = this.dependencies.clock().millis();
		long untilMs = this.dependencies.gossip().quarantinedUntilMs(this.job.fingerprint());
		if (untilMs > nowMs) {
			return new ExecutionResult.Failed(
					problem(ProblemType.QUARANTINED, "the request crashed backend servers", untilMs - nowMs));
		}
		if (nowMs >= this.job.deadlineMs()) {
			return new ExecutionResult.Failed(problem(ProblemType.TIMED_OUT, "the timeout of the route passed", 0));
		}
		return null;
	}

	private static ExecutionResult sleep(long durationMs) {
		try {
			Thread.sleep(durationMs);
			return null;
		}
		catch (InterruptedException ex) {
			return new ExecutionResult.CallerDisconnected();
		}
	}

	private Problem problem(ProblemType type, String detail, long retryAfterMs) {
		return new Problem(type, detail, this.job.rank(), (this.mayHaveRun) ? "unknown" : "no", retryAfterMs);
	}

	private ChainDecision plan(FleetView view) {
		FleetSnapshot snapshot = view.engines().get(this.job.pool());
		if (snapshot == null) {
			return new ChainDecision.NoChain("pool \"" + this.job.pool() + "\" has no engines", RETRY_AFTER_MS,
					List.of());
		}
		ChainQuery query = new ChainQuery(this.job.requestId(), this.job.model(), this.job.version(),
				this.job.adapter(), this.job.layerCount(), this.job.rank(), this.job.promptTokens(),
				this.job.maxTokens(), "", this.job.fingerprint(),
				this.suspect || this.dependencies.gossip().isSuspect(this.job.fingerprint()),
				Set.copyOf(this.excluded));
		long seed = ThreadLocalRandom.current().nextLong();
		ChainDecision decision = this.dependencies.planner().plan(query, snapshot, new SplittableRandom(seed));
		this.dependencies.traces().recordDecision(query, snapshot, seed, decision);
		return decision;
	}

	private AttemptResult attempt(Chain chain, FleetView view) {
		this.attempts++;
		List<String> servers = chain.stages().stream().map(Stage::server).distinct().toList();
		long id = this.dependencies.fleet().attemptStarted(servers, this.job.fingerprint());
		servers
			.forEach((server) -> this.dependencies.crashDetector().attemptStarted(server, id, this.job.fingerprint()));
		try {
			AttemptResult result = new Attempt(this.dependencies, this.job, chain, this.attempts, this.emitted,
					this.sink)
				.execute();
			recordResult(result, chain, view, servers);
			return result;
		}
		finally {
			servers.forEach((server) -> this.dependencies.crashDetector().attemptEnded(server, id));
			this.dependencies.fleet().attemptEnded(servers, id);
		}
	}

	private void recordResult(AttemptResult result, Chain chain, FleetView view, List<String> servers) {
		switch (result) {
			case AttemptResult.Completed completed ->
				servers.forEach((server) -> this.dependencies.fleet().recordResult(server, true));
			case AttemptResult.Cut cut -> cancel(chain);
			case AttemptResult.Rejected rejected -> cancel(chain);
			case AttemptResult.Failed failed -> onFailure(failed, chain, view);
		}
		this.dependencies.traces().recordEvent(this.job.requestId(), "attempt " + this.attempts, result.toString());
	}

	private void onFailure(AttemptResult.Failed failed, Chain chain, FleetView view) {
		Logger.info("chain: request {} attempt {} failed on {}: {}", this.job.requestId(), this.attempts,
				(failed.server().isEmpty()) ? "an unknown engine" : failed.server(), failed.code());
		this.mayHaveRun |= failed.mayHaveRun();
		cancel(chain);
		if (failed.server().isEmpty()) {
			probeStalledChain(chain, view);
			return;
		}
		this.excluded.add(failed.server());
		if (failed.serverFault()) {
			this.dependencies.fleet().recordResult(failed.server(), false);
		}
		if (failed.code().startsWith(Attempt.UNREACHABLE)) {
			// The first engine of the chain was down before the attempt, so this request
			// cannot have crashed it.
			this.dependencies.fleet().recordUnreachable(failed.server());
		}
		if (failed.crashSuspected()) {
			this.suspect |= this.dependencies.crashDetector()
				.probe(view.engine(failed.server())) == CrashDetector.Health.CRASHED;
		}
	}

	// A stall does not show which engine failed, so all engines of the chain are probed.
	// When all respond, a link may have failed, and the next attempt excludes the whole
	// chain.
	private void probeStalledChain(Chain chain, FleetView view) {
		List<String> servers = chain.stages().stream().map(Stage::server).distinct().toList();
		Map<String, CrashDetector.Health> healthByServer = new ConcurrentHashMap<>();
		List<Thread> probes = new ArrayList<>();
		for (String server : servers) {
			probes.add(Thread.ofVirtual()
				.name("probe")
				.start(() -> healthByServer.put(server, this.dependencies.crashDetector().probe(view.engine(server)))));
		}
		for (Thread probe : probes) {
			joinUninterruptibly(probe);
		}
		boolean allAlive = healthByServer.values().stream().allMatch((health) -> health == CrashDetector.Health.ALIVE);
		for (String server : servers) {
			boolean alive = healthByServer.get(server) == CrashDetector.Health.ALIVE;
			if (!alive || allAlive) {
				this.excluded.add(server);
			}
			if (!alive) {
				this.dependencies.fleet().recordResult(server, false);
			}
			this.suspect |= healthByServer.get(server) == CrashDetector.Health.CRASHED;
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
		String request = this.job.requestId();
		int number = this.attempts;
		for (Stage stage : chain.stages()) {
			Thread.ofVirtual()
				.name("cancel")
				.start(() -> this.dependencies.client().cancel(stage.address(), request, number, CANCEL_TIMEOUT_MS));
		}
	}

}
