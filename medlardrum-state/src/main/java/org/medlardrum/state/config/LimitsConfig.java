package org.medlardrum.state.config;

/**
 * Limits that apply to all routes.
 *
 * @param retryBudgetShare largest number of retries, as a fraction of first attempts
 * @param maxAttempts largest number of attempts for one request, including the first
 * @param quarantineMs time for which a request that crashes engines stays in quarantine,
 * in milliseconds
 * @param claimRetentionMs time for which the claim of a non-idempotent request is kept,
 * in milliseconds
 * @param maxBodyBytes largest request body, in bytes
 * @param slowStartMs duration of the slow start in which a new server's load increases to
 * its full share, in milliseconds
 */
public record LimitsConfig(double retryBudgetShare, int maxAttempts, long quarantineMs, long claimRetentionMs,
		int maxBodyBytes, long slowStartMs) {
}
