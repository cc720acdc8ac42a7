package org.medlardrum.entry.internal.fleet;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.medlardrum.decisions.CircuitBreaker;
import org.medlardrum.decisions.CircuitBreakerSettings;
import org.medlardrum.decisions.SlowStart;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.EngineState;

/**
 * State of one backend server as recorded by this host. Owned by the fleet thread.
 */
final class ServerState {

	/** Weight of a new measurement in the moving average of the slowdown. */
	private static final double MEASUREMENT_WEIGHT = 0.2;

	/**
	 * Time constant of the exponential decay of an observed slowdown, so that an engine
	 * that was avoided as slow is tried again.
	 */
	private static final double SLOWDOWN_DECAY_MS = 15_000;

	private final Map<Long, RunningAttempt> attempts = new LinkedHashMap<>();

	private final CircuitBreaker circuit = new CircuitBreaker(CircuitBreakerSettings.DEFAULT);

	private BackendServer server;

	private EngineReport report;

	/** Time on this host's clock; the time in the report is on the engine's clock. */
	private long reportReceivedAtMs;

	private long joinedAtMs;

	private double slowdown = 1;

	private long slowdownAtMs;

	private long nextPollAtMs;

	private boolean polling;

	private boolean wasUnreachable;

	ServerState(BackendServer server, long joinedAtMs) {
		this.server = server;
		this.joinedAtMs = joinedAtMs;
	}

	BackendServer server() {
		return this.server;
	}

	void server(BackendServer value) {
		this.server = value;
	}

	EngineReport report() {
		return this.report;
	}

	CircuitBreaker circuit() {
		return this.circuit;
	}

	void updateReport(EngineReport value, long nowMs) {
		if (this.wasUnreachable) {
			this.wasUnreachable = false;
			this.joinedAtMs = nowMs;
			this.slowdown = 1;
		}
		else if (this.report != null && this.report.bootId() != null && !this.report.bootId().equals(value.bootId())) {
			this.joinedAtMs = nowMs;
			this.slowdown = 1;
		}
		else if (this.report != null && value.reportedAtMs() < this.report.reportedAtMs()) {
			return;
		}
		this.report = value;
		this.reportReceivedAtMs = nowMs;
	}

	// An engine without a report receives no requests until a poll of it succeeds.
	void markUnreachable(long nowMs) {
		this.report = null;
		this.wasUnreachable = true;
		this.nextPollAtMs = Math.min(this.nextPollAtMs, nowMs);
	}

	void attemptStarted(long attempt, String fingerprint, long nowMs) {
		this.attempts.put(attempt, new RunningAttempt(fingerprint, nowMs));
		// The result is not needed, since the server was chosen by its circuit state. If
		// the circuit is half open, the call makes this attempt its probe.
		this.circuit.tryAcquire(nowMs);
	}

	void attemptEnded(long attempt) {
		this.attempts.remove(attempt);
	}

	int inFlight() {
		return this.attempts.size();
	}

	void recordSlowdown(double measuredSlowdown, long nowMs) {
		this.slowdown = slowdown(nowMs);
		this.slowdown += MEASUREMENT_WEIGHT * (measuredSlowdown - this.slowdown);
		this.slowdownAtMs = nowMs;
	}

	private double slowdown(long nowMs) {
		return 1 + (this.slowdown - 1) * Math.exp(-(nowMs - this.slowdownAtMs) / SLOWDOWN_DECAY_MS);
	}

	boolean isPollDue(long nowMs) {
		return !this.polling && nowMs >= this.nextPollAtMs;
	}

	void pollStarted() {
		this.polling = true;
	}

	void pollEnded(long nextAtMs) {
		this.polling = false;
		this.nextPollAtMs = nextAtMs;
	}

	void schedulePollBy(long atMs) {
		this.nextPollAtMs = Math.min(this.nextPollAtMs, atMs);
	}

	EngineState engineState(SlowStart slowStart, Predicate<String> isSuspect, boolean leaving, long nowMs) {
		int unreported = 0;
		Set<String> suspects = new HashSet<>();
		for (RunningAttempt attempt : this.attempts.values()) {
			if (attempt.startedAtMs() >= this.reportReceivedAtMs) {
				unreported++;
			}
			if (isSuspect.test(attempt.fingerprint())) {
				suspects.add(attempt.fingerprint());
			}
		}
		return new EngineState(this.server, this.report, Math.max(0, nowMs - this.reportReceivedAtMs), unreported,
				this.circuit.state(nowMs), slowStart.share(this.joinedAtMs, nowMs), Math.max(1, slowdown(nowMs)),
				suspects, leaving);
	}

	ServiceState serviceState(boolean leaving, long nowMs) {
		return new ServiceState(this.server, this.attempts.size(), this.circuit.state(nowMs), leaving);
	}

	private record RunningAttempt(String fingerprint, long startedAtMs) {
	}

}
