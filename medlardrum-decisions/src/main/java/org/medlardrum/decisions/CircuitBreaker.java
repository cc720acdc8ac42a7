package org.medlardrum.decisions;

import org.medlardrum.state.CircuitState;

/**
 * Circuit breaker of one backend server. It opens on consecutive failures or on a high
 * error rate, and closes after a successful probe.
 */
public final class CircuitBreaker {

	private final CircuitBreakerSettings settings;

	private CircuitState state = CircuitState.CLOSED;

	private int consecutiveFailures;

	private long openUntilMs;

	private long probeUntilMs;

	/**
	 * Creates a closed circuit breaker.
	 * @param settings thresholds
	 */
	public CircuitBreaker(CircuitBreakerSettings settings) {
		this.settings = settings;
	}

	/**
	 * Records the result of a request.
	 * @param ok whether the backend server answered without a fault of its own
	 * @param nowMs clock reading, in milliseconds
	 */
	public void onResult(boolean ok, long nowMs) {
		if (ok) {
			this.consecutiveFailures = 0;
			if (state(nowMs) != CircuitState.OPEN || this.probeUntilMs > 0) {
				this.state = CircuitState.CLOSED;
				this.probeUntilMs = 0;
			}
			return;
		}
		this.consecutiveFailures++;
		if (this.state != CircuitState.CLOSED || this.consecutiveFailures >= this.settings.consecutiveFailures()) {
			this.state = CircuitState.OPEN;
			this.openUntilMs = nowMs + this.settings.openMs();
			this.probeUntilMs = 0;
		}
	}

	/**
	 * Returns the state. While a probe is in flight the circuit reads as open.
	 * @param nowMs clock reading, in milliseconds
	 * @return the state
	 */
	public CircuitState state(long nowMs) {
		if (this.state == CircuitState.CLOSED) {
			return CircuitState.CLOSED;
		}
		return (nowMs >= Math.max(this.openUntilMs, this.probeUntilMs)) ? CircuitState.HALF_OPEN : CircuitState.OPEN;
	}

	/**
	 * Asks to send a request.
	 * @param nowMs clock reading, in milliseconds
	 * @return {@code true} when the circuit is closed, or half open and the request is
	 * the probe
	 */
	public boolean tryAcquire(long nowMs) {
		CircuitState current = state(nowMs);
		if (current == CircuitState.HALF_OPEN) {
			this.probeUntilMs = nowMs + this.settings.probeTimeoutMs();
		}
		return current != CircuitState.OPEN;
	}

}
