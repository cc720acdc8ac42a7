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
	 * Time constant of the exponential decay of an observed slowdown, so that an excluded
	 * engine is used again.
	 */
	private static final double SLOWDOWN_FADE_MS = 15_000;

	private final Map<Long, Running> running = new LinkedHashMap<>();

	private final CircuitBreaker circuit = new CircuitBreaker(CircuitBreakerSettings.DEFAULT);

	private BackendServer server;

	private EngineReport report;

	private long reportedAtMs;

	private long joinedAtMs;

	private double slowdown = 1;

	private long slowdownAtMs;

	private long nextPollAtMs;

	private boolean polling;

	private boolean down;

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

	void reported(EngineReport value, long nowMs) {
		if (this.down) {
			this.down = false;
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
		this.reportedAtMs = nowMs;
	}

	// An engine without a report receives no requests until a poll of it succeeds.
	void unreachable(long nowMs) {
		this.report = null;
		this.down = true;
		this.nextPollAtMs = Math.min(this.nextPollAtMs, nowMs);
	}

	void started(long attempt, String fingerprint, long nowMs) {
		this.running.put(attempt, new Running(fingerprint, nowMs));
		this.circuit.tryAcquire(nowMs);
	}

	void ended(long attempt) {
		this.running.remove(attempt);
	}

	int inFlight() {
		return this.running.size();
	}

	void measured(double factor, long nowMs) {
		this.slowdown = slowdown(nowMs);
		this.slowdown += MEASUREMENT_WEIGHT * (factor - this.slowdown);
		this.slowdownAtMs = nowMs;
	}

	private double slowdown(long nowMs) {
		return 1 + (this.slowdown - 1) * Math.exp(-(nowMs - this.slowdownAtMs) / SLOWDOWN_FADE_MS);
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

	void pollSoon(long atMs) {
		this.nextPollAtMs = Math.min(this.nextPollAtMs, atMs);
	}

	EngineState engineState(SlowStart slowStart, Predicate<String> isSuspect, boolean leaving, long nowMs) {
		int unreported = 0;
		Set<String> suspects = new HashSet<>();
		for (Running attempt : this.running.values()) {
			if (attempt.startedAtMs() >= this.reportedAtMs) {
				unreported++;
			}
			if (isSuspect.test(attempt.fingerprint())) {
				suspects.add(attempt.fingerprint());
			}
		}
		return new EngineState(this.server, this.report, Math.max(0, nowMs - this.reportedAtMs), unreported,
				this.circuit.state(nowMs), slowStart.share(this.joinedAtMs, nowMs), Math.max(1, slowdown(nowMs)),
				suspects, leaving);
	}

	ServiceState serviceState(boolean leaving, long nowMs) {
		return new ServiceState(this.server, this.running.size(), this.circuit.state(nowMs), leaving);
	}

	private record Running(String fingerprint, long startedAtMs) {
	}

}
