package org.medlardrum.decisions;

import org.medlardrum.state.LayerRange;

/**
 * Evaluation of one engine by the planner.
 *
 * @param server identifier of the engine
 * @param layers layers that the engine holds, or those that it runs when it is chosen
 * @param costUs expected time of one token on these layers, including all penalties, in
 * microseconds; 0 for an engine that cannot be used
 * @param verdict {@code chosen}, {@code considered} or the reason why the engine cannot
 * be used
 */
public record CandidateScore(String server, LayerRange layers, double costUs, String verdict) {
}
