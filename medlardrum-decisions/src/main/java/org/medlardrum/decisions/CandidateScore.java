package org.medlardrum.decisions;

import org.medlardrum.state.LayerRange;

/**
 * How the planner judged one engine.
 *
 * @param server id of the engine
 * @param layers layers that the engine holds
 * @param costUs expected time of one token on these layers with all penalties, in
 * microseconds; 0 for an engine that cannot be used
 * @param verdict {@code chosen}, {@code considered} or the reason why the engine cannot
 * be used
 */
public record CandidateScore(String server, LayerRange layers, double costUs, String verdict) {
}
