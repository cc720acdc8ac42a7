package org.medlardrum.decisions;

import java.util.random.RandomGenerator;

import org.medlardrum.state.CircuitState;

/**
 * Circuit breaker of one backend server. It opens on consecutive failures or on a high
 * error rate, lets one probe through after a wait that doubles with each failed probe,
 * and closes when a probe succeeds. <pre>{@code
 * if (circuit.tryAcquire(nowMs)) {
 *     send(request, (ok) -> circuit.onResult(ok, clock.millis()));
 * }
 * }</pre>
 */
public final class CircuitBreaker {

	private static final int MAX_DOUBLINGS = 20;

	private final CircuitBreakerSettings settings;

	private final RandomGenerator random;

	private final ResultWindow window;

	private boolean closed = true;

	private boolean probing;

	private int consecutiveFailures;

	private int failedProbes;

	private long probeAtMs;

	/**
	 * Creates a closed circuit breaker whose waits have no jitter.
	 * @param settings thresholds
	 */
	public CircuitBreaker(CircuitBreakerSettings settings) {
		this(settings, null);
	}

	/**
	 * Creates a closed circuit breaker.
	 * @param settings thresholds
	 * @param random source of jitter, which spreads the probes of many hosts over time
	 */
	public CircuitBreaker(CircuitBreakerSettings settings, RandomGenerator random) {
		this.settings = settings;
		this.random = random;
		this.window = new ResultWindow(settings.windowMs());
	}

	/**
	 * Records the result of a request. While the circuit is open and no probe is due,
	 * results belong to requests that were sent before it opened, and are ignored.
	 * @param ok whether the backend server responded without a failure of its own
	 * @param nowMs current time, in milliseconds
	 */
	public void onResult(boolean ok, long nowMs) {
		if (this.closed) {
			onResultWhileClosed(ok, nowMs);
		}
		else if (this.probing || nowMs >= this.probeAtMs) {
			this.failedProbes = (ok) ? 0 : this.failedProbes + 1;
			if (ok) {
				close();
			}
			else {
				open(nowMs);
			}
		}
	}

	private void onResultWhileClosed(boolean ok, long nowMs) {
		this.window.add(ok, nowMs);
		this.consecutiveFailures = (ok) ? 0 : this.consecutiveFailures + 1;
		boolean tooManyInARow = this.consecutiveFailures >= this.settings.consecutiveFailures();
		if (!ok && (tooManyInARow
				|| this.window.reaches(this.settings.errorRate(), this.settings.minimumResults(), nowMs))) {
			open(nowMs);
		}
	}

	private void close() {
		this.closed = true;
		this.probing = false;
		this.consecutiveFailures = 0;
		this.window.clear();
	}

	private void open(long nowMs) {
		this.closed = false;
		this.probing = false;
		int doublings = Math.min(MAX_DOUBLINGS, this.failedProbes);
		double waitMs = Math.min(this.settings.maxOpenMs(), (double) this.settings.openMs() * (1L << doublings));
		double jitter = (this.random != null) ? 0.5 + this.random.nextDouble() / 2 : 1;
		this.probeAtMs = nowMs + (long) (waitMs * jitter);
	}

	/**
	 * Returns the state. While a probe is in flight, the circuit is reported as open.
	 * @param nowMs current time, in milliseconds
	 * @return the state
	 */
	public CircuitState state(long nowMs) {
		if (this.closed) {
			return CircuitState.CLOSED;
		}
		return (nowMs >= this.probeAtMs) ? CircuitState.HALF_OPEN : CircuitState.OPEN;
	}

	/**
	 * Requests permission to send a request.
	 * @param nowMs current time, in milliseconds
	 * @return {@code true} when the circuit is closed, or when it is half open and the
	 * request becomes the probe
	 */
	public boolean tryAcquire(long nowMs) {
		CircuitState current = state(nowMs);
		if (current == CircuitState.HALF_OPEN) {
			this.probing = true;
			this.probeAtMs = nowMs + this.settings.probeTimeoutMs();
		}
		return current != CircuitState.OPEN;
	}

}
