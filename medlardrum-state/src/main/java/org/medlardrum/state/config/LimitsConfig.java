package org.medlardrum.state.config;

/**
 * Limits that apply to all routes.
 *
 * @param retryBudgetShare retries as a share of first attempts
 * @param maxAttempts attempts for one request, the first included
 * @param quarantineMs time for which a crashing request stays in quarantine
 * @param claimRetentionMs time for which a claim of a non-idempotent request is kept
 * @param maxBodyBytes largest request body
 * @param slowStartMs time over which a joining server's share grows to full
 */
public record LimitsConfig(double retryBudgetShare, int maxAttempts, long quarantineMs, long claimRetentionMs,
		int maxBodyBytes, long slowStartMs) {
}
