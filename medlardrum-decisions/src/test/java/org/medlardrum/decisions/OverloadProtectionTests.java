package org.medlardrum.decisions;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.medlardrum.state.CircuitState;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against retry storms, synchronised retries and probes, and excessive load on
 * failing or cold backend servers.
 */
class OverloadProtectionTests {

	private static final CircuitBreakerSettings SETTINGS = new CircuitBreakerSettings(5, 0.5, 10, 10_000, 1000, 4000,
			2000);

	private final CircuitBreaker circuit = new CircuitBreaker(SETTINGS);

	private void fail(int times, long nowMs) {
		for (int i = 0; i < times; i++) {
			this.circuit.onResult(false, nowMs);
		}
	}

	@Test
	void limitsRetriesToTheShareOfFirstAttemptsWhenEverythingFails() {
		RetryBudget budget = new RetryBudget(0.1, 10);
		int retries = 0;
		for (int i = 0; i < 10_000; i++) {
			budget.onFirstAttempt();
			retries += (budget.tryRetry(i / 100)) ? 1 : 0;
		}
		assertThat(retries).isAtMost(1000 + 10 + 1);
		assertThat(retries).isAtLeast(990);
		while (budget.tryRetry(200)) {
			retries++;
		}
		assertThat(budget.tryRetry(1300)).isTrue();
	}

	@Test
	void spreadsRetriesOverTheWholeDelay() {
		Backoff backoff = new Backoff(100, 1000);
		SplittableRandom random = new SplittableRandom(1);
		for (int attempt = 0; attempt < 70; attempt++) {
			long bound = (attempt < 5) ? 100L << Math.max(0, attempt - 1) : 1000;
			long smallest = Long.MAX_VALUE;
			long largest = 0;
			for (int i = 0; i < 200; i++) {
				long delayMs = backoff.delayMs(attempt, random);
				smallest = Math.min(smallest, delayMs);
				largest = Math.max(largest, delayMs);
			}
			assertThat(largest).isAtMost(bound);
			assertThat(largest).isAtLeast(bound * 8 / 10);
			assertThat(smallest).isAtLeast(1L);
			assertThat(smallest).isAtMost(bound / 5);
		}
	}

	@Test
	void opensOnConsecutiveFailuresAndOnTheErrorRate() {
		fail(4, 0);
		assertThat(this.circuit.state(0)).isEqualTo(CircuitState.CLOSED);
		fail(1, 0);
		assertThat(this.circuit.state(0)).isEqualTo(CircuitState.OPEN);
		CircuitBreaker flapping = new CircuitBreaker(SETTINGS);
		for (int i = 0; i < 10; i++) {
			flapping.onResult(i % 2 == 0, i * 100);
		}
		assertThat(flapping.state(1000)).isEqualTo(CircuitState.OPEN);
	}

	@Test
	void forgetsFailuresOlderThanTheWindow() {
		for (int i = 0; i < 100; i++) {
			this.circuit.onResult(i % 4 != 0, i * 2000);
			this.circuit.onResult(true, i * 2000);
		}
		this.circuit.onResult(false, 300_000);
		assertThat(this.circuit.state(300_000)).isEqualTo(CircuitState.CLOSED);
	}

	@Test
	void letsOneProbeThroughAndWaitsLongerAfterEachFailedOne() {
		fail(5, 0);
		this.circuit.onResult(true, 500);
		assertThat(this.circuit.tryAcquire(999)).isFalse();
		assertThat(this.circuit.tryAcquire(1000)).isTrue();
		assertThat(this.circuit.tryAcquire(1001)).isFalse();
		this.circuit.onResult(false, 1100);
		assertThat(this.circuit.state(3099)).isEqualTo(CircuitState.OPEN);
		assertThat(this.circuit.tryAcquire(3100)).isTrue();
		// The probe has no result within its time limit, so another one is allowed.
		assertThat(this.circuit.tryAcquire(5100)).isTrue();
		this.circuit.onResult(true, 5200);
		assertThat(this.circuit.state(5200)).isEqualTo(CircuitState.CLOSED);
	}

	@Test
	void growsTheShareOfAJoiningServer() {
		SlowStart slowStart = new SlowStart(10_000);
		assertThat(slowStart.share(0, -5)).isWithin(1e-9).of(0.1);
		assertThat(slowStart.share(0, 5000)).isWithin(1e-9).of(0.55);
		assertThat(slowStart.share(0, 20_000)).isWithin(1e-9).of(1);
		assertThat(new SlowStart(0).share(0, 0)).isWithin(1e-9).of(1);
	}

}
