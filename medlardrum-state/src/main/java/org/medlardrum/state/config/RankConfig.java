package org.medlardrum.state.config;

/**
 * Targets and floor of a rank.
 *
 * @param floorShare share of a pool's work that the rank keeps during a flood of another
 * rank, 0 to 1
 * @param firstTokenTargetMs target for the time to the first token, or to the whole
 * response of a plain service
 * @param betweenTokensTargetMs target for the time between tokens
 * @param maxQueueMs longest expected wait at which a request is still accepted
 * @param objective share of requests that meet the target, for the error budget
 */
public record RankConfig(double floorShare, long firstTokenTargetMs, long betweenTokensTargetMs, long maxQueueMs,
		double objective) {
}
