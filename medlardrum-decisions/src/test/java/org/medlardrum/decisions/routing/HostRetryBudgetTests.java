package org.medlardrum.decisions.routing;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against retries that exceed the budget of all hosts during an outage in which
 * every request fails.
 */
class HostRetryBudgetTests {

	@Test
	void retriesStayWithinRatioAndAllowanceInEveryWindow() {
		HostRetryBudget budget = new HostRetryBudget(0.2, 10_000);
		int[] retries = new int[60];
		for (int second = 0; second < 60; second++) {
			for (int i = 0; i < 10; i++) {
				long nowMs = second * 1_000L + i * 100L;
				budget.onFirstAttempt(nowMs);
				if (budget.tryRetry(5, nowMs)) {
					retries[second]++;
				}
			}
		}
		for (int from = 0; from + 10 <= 60; from++) {
			int sum = 0;
			for (int second = from; second < from + 10; second++) {
				sum += retries[second];
			}
			assertThat(sum).isAtMost(5 + 20);
		}
	}

	@Test
	void allowanceIsAvailableAgainAfterTheWindow() {
		HostRetryBudget budget = new HostRetryBudget(0, 10_000);
		assertThat(budget.tryRetry(1, 0)).isTrue();
		assertThat(budget.tryRetry(1, 9_000)).isFalse();
		assertThat(budget.tryRetry(1, 10_001)).isTrue();
	}

}
