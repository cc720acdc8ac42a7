package org.medlardrum.state.config;

/**
 * Targets and guaranteed share of a rank.
 *
 * @param floorShare fraction of a pool's capacity that is guaranteed to the rank during a
 * flood of another rank, 0 to 1
 * @param firstTokenTargetMs target for the time to the first token, or to the complete
 * response of a plain service, in milliseconds
 * @param betweenTokensTargetMs target for the time between tokens, in milliseconds
 * @param maxQueueMs longest expected queueing time at which a request is still accepted,
 * in milliseconds
 * @param objective fraction of requests that must meet the target, the basis of the error
 * budget
 */
public record RankConfig(double floorShare, long firstTokenTargetMs, long betweenTokensTargetMs, long maxQueueMs,
		double objective) {
}
