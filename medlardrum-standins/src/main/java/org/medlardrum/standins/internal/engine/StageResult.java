package org.medlardrum.standins.internal.engine;

import java.util.List;

import org.medlardrum.state.EngineReport;
import org.medlardrum.state.LayerRange;

/**
 * Response to a stage request, for the receiving stage and all stages after it.
 *
 * @param request identifier of the request
 * @param attempt number of the attempt
 * @param position position of the token
 * @param activation output of the last stage
 * @param layers executed layer ranges, that of the receiver first
 * @param stageTimesUs duration of each stage, in microseconds
 * @param loads load reports of the engines, empty unless requested
 */
public record StageResult(String request, int attempt, int position, long activation, List<LayerRange> layers,
		List<Long> stageTimesUs, List<EngineReport> loads) {
}
