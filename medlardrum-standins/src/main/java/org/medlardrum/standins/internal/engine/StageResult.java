package org.medlardrum.standins.internal.engine;

import java.util.List;

import org.medlardrum.state.EngineReport;
import org.medlardrum.state.LayerRange;

/**
 * Response to a stage request: what the receiver and the stages after it did.
 *
 * @param request identifier of the request
 * @param attempt number of the attempt
 * @param position position of the token
 * @param activation output of the last stage
 * @param layers layer ranges that ran, the receiver's first
 * @param stageTimesUs time of each stage, in microseconds
 * @param loads reports of the engines, empty unless asked for
 */
public record StageResult(String request, int attempt, int position, long activation, List<LayerRange> layers,
		List<Long> stageTimesUs, List<EngineReport> loads) {
}
