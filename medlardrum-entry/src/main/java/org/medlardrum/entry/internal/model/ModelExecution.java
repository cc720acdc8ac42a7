package org.medlardrum.entry.internal.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;

import org.medlardrum.decisions.ChainDecision;
import org.medlardrum.decisions.ChainQuery;
import org.medlardrum.decisions.pool.SilenceDecision;
import org.medlardrum.decisions.pool.SilencePolicy;
import org.medlardrum.decisions.pool.SilentAttempt;
import org.medlardrum.decisions.routing.SendDenial;
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

	/** Chain that takes the place of a silent one, {@code null} for none. */
	private Successor successor;

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
			result = switch (nextChain(view)) {
				case ChainDecision.Chosen chosen -> onAttemptResult(attempt(chosen.chain(), view));
				case ChainDecision.NoChain none -> onNoChain(none);
			};
		}
		return result;
	}

	private ChainDecision nextChain(FleetView view) {
		if (this.successor == null) {
			return plan(view, this.excluded);
		}
		ChainDecision decision = new ChainDecision.Chosen(this.successor.chain(), List.of());
		this.successor = null;
		return decision;
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
			// The successor is in hand.
			case AttemptResult.Replaced replaced -> null;
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
		countRetry();
		return sleep(this.dependencies.retries().delayMs(this.attempts));
	}

	private void countRetry() {
		this.dependencies.metrics().retry("model");
		if (!this.emitted.isEmpty()) {
			this.dependencies.metrics().resume();
		}
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

	private ChainDecision plan(FleetView view, Set<String> avoided) {
		FleetSnapshot snapshot = view.engines().get(this.job.pool());
		if (snapshot == null) {
			return new ChainDecision.NoChain("pool \"" + this.job.pool() + "\" has no engines", RETRY_AFTER_MS,
					List.of());
		}
		ChainQuery query = new ChainQuery(this.job.requestId(), this.job.model(), this.job.version(),
				this.job.adapter(), this.job.layerCount(), this.job.rank(), this.job.promptTokens(),
				this.job.maxTokens(), "", this.job.fingerprint(),
				this.suspect || this.dependencies.gossip().isSuspect(this.job.fingerprint()), Set.copyOf(avoided));
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
					this.sink, new Silence(chain, view))
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
			case AttemptResult.Replaced replaced -> {
				Logger.info("chain: request {} attempt {} silent for {} ms, moves to another chain",
						this.job.requestId(), this.attempts, replaced.silentMs());
				this.mayHaveRun = true;
				cancel(chain);
			}
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

	// A silence does not show which engine failed, so all engines of the chain are
	// probed. When all respond, a link may have failed, and the next attempt excludes the
	// whole chain.
	private void probeStalledChain(Chain chain, FleetView view) {
		ChainHealth health = ChainHealth.probe(this.dependencies, chain, view);
		this.excluded.addAll(health.avoided());
		this.suspect |= health.crashed();
	}

	// Returns why the request must not be sent again, empty if it may.
	private Optional<SendDenial> denial() {
		long nowMs = this.dependencies.clock().millis();
		if (nowMs >= this.job.deadlineMs()) {
			return Optional.of(SendDenial.DEADLINE_PASSED);
		}
		if (this.dependencies.gossip().quarantinedUntilMs(this.job.fingerprint()) > nowMs) {
			return Optional.of(SendDenial.QUARANTINED);
		}
		return (this.dependencies.retries().attemptsLeft(this.attempts)) ? Optional.empty()
				: Optional.of(SendDenial.SEND_LIMIT);
	}

	// Plans a chain without any of the avoided engines. When all engines of the silent
	// chain respond and each other chain has one of them, avoiding one has to do.
	private Optional<Successor> planSuccessor(ChainHealth health) {
		FleetView view = this.dependencies.fleet().view();
		List<Set<String>> choices = new ArrayList<>();
		choices.add(health.avoided());
		if (health.unresponsive().isEmpty()) {
			health.servers().forEach((server) -> choices.add(Set.of(server)));
		}
		for (Set<String> choice : choices) {
			Set<String> avoided = new HashSet<>(this.excluded);
			avoided.addAll(choice);
			if (plan(view, avoided) instanceof ChainDecision.Chosen chosen) {
				return Optional.of(new Successor(chosen.chain(), choice));
			}
		}
		return Optional.empty();
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

	/**
	 * Chain that takes the place of a silent one.
	 *
	 * @param chain the chain
	 * @param avoided engines of the silent chain that it avoids
	 */
	private record Successor(Chain chain, Set<String> avoided) {
	}

	/**
	 * Keeps a silent attempt until a successor is in hand: the request may be sent again
	 * and another chain has been planned.
	 */
	private final class Silence implements SilenceHandler {

		private final Chain chain;

		private final FleetView view;

		private ChainHealth health;

		private String keptReason = "";

		private Silence(Chain chain, FleetView view) {
			this.chain = chain;
			this.view = view;
		}

		@Override
		public void probe() {
			this.health = ChainHealth.probe(ModelExecution.this.dependencies, this.chain, this.view);
		}

		@Override
		public AttemptResult decide(long silentMs) {
			if (this.health.crashed()) {
				return new AttemptResult.Failed("", "an engine crashed, silent for " + silentMs + " ms", true, false,
						false);
			}
			SilenceDecision decision = SilencePolicy.decide(new SilentAttempt(silentMs,
					!ModelExecution.this.emitted.isEmpty(), false, 0, true, false, denial()));
			return switch (decision) {
				case SilenceDecision.Keep keep -> keep(keep.reason(), silentMs);
				case SilenceDecision.TryAnyChain any -> replace(silentMs);
				case SilenceDecision.TrySpareChain spare -> replace(silentMs);
			};
		}

		private AttemptResult replace(long silentMs) {
			Optional<Successor> planned = planSuccessor(this.health);
			if (planned.isEmpty()) {
				return keep("no-other-chain", silentMs);
			}
			if (!ModelExecution.this.dependencies.retries().tryRetry(ModelExecution.this.attempts)) {
				return keep(SendDenial.RETRY_BUDGET.label(), silentMs);
			}
			countRetry();
			ModelExecution.this.successor = planned.get();
			ModelExecution.this.excluded.addAll(planned.get().avoided());
			return new AttemptResult.Replaced(silentMs);
		}

		private AttemptResult keep(String reason, long silentMs) {
			if (!reason.equals(this.keptReason)) {
				this.keptReason = reason;
				Logger.info("chain: request {} attempt {} silent for {} ms, kept: {}",
						ModelExecution.this.job.requestId(), ModelExecution.this.attempts, silentMs, reason);
			}
			return null;
		}

	}

}
