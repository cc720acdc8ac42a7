package org.medlardrum.entry.internal.host;

import java.time.InstantSource;
import java.util.concurrent.ThreadLocalRandom;

import org.medlardrum.decisions.Backoff;
import org.medlardrum.decisions.RetryBudget;
import org.medlardrum.state.config.LimitsConfig;

/**
 * Retry limits and the retry budget that all requests of this host share. Thread-safe.
 */
public final class Retries {

	/**
	 * Allows a host with few requests to retry all those that were in progress on one
	 * failed engine.
	 */
	private static final int BURST_RETRIES = 100;

	private static final long BACKOFF_BASE_MS = 10;

	private static final long BACKOFF_MAX_MS = 500;

	private final InstantSource clock;

	private final boolean enabled;

	private final Backoff backoff = new Backoff(BACKOFF_BASE_MS, BACKOFF_MAX_MS);

	private double budgetShare = -1;

	private RetryBudget budget = new RetryBudget(0, BURST_RETRIES);

	private volatile int maxAttempts = 1;

	/**
	 * Creates a budget that allows no retries until it is configured.
	 * @param clock the clock
	 * @param enabled {@code false} to allow no retries at all
	 */
	public Retries(InstantSource clock, boolean enabled) {
		this.clock = clock;
		this.enabled = enabled;
	}

	/**
	 * Sets the limits in force.
	 * @param limits the limits
	 */
	public synchronized void configure(LimitsConfig limits) {
		this.maxAttempts = Math.max(1, limits.maxAttempts());
		if (limits.retryBudgetShare() != this.budgetShare) {
			this.budgetShare = limits.retryBudgetShare();
			this.budget = new RetryBudget(this.budgetShare, BURST_RETRIES);
		}
	}

	/**
	 * Counts the first attempt of a request, which adds to the budget.
	 */
	public synchronized void onFirstAttempt() {
		this.budget.onFirstAttempt();
	}

	/**
	 * Takes a retry from the budget.
	 * @param attempts number of attempts of the request so far
	 * @return {@code true} if the request may be retried
	 */
	public synchronized boolean tryRetry(int attempts) {
		return attemptsLeft(attempts) && this.budget.tryRetry(this.clock.millis());
	}

	/**
	 * Returns whether a request may be retried while the budget lasts.
	 * @param attempts number of attempts of the request so far
	 * @return {@code false} if the request had as many attempts as it may
	 */
	public boolean attemptsLeft(int attempts) {
		return this.enabled && attempts < this.maxAttempts;
	}

	/**
	 * Returns the backoff delay before the next attempt.
	 * @param attempts number of attempts of the request so far
	 * @return the delay, in milliseconds
	 */
	public long delayMs(int attempts) {
		return this.backoff.delayMs(attempts, ThreadLocalRandom.current());
	}

}
