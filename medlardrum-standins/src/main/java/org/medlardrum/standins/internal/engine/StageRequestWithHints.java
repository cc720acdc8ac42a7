package org.medlardrum.standins.internal.engine;

import java.util.List;

import org.medlardrum.protocol.engine.StageRequest;
import org.medlardrum.state.Rank;
import org.medlardrum.state.Stage;

/**
 * A {@link StageRequest} with the hints that stand-in engines add to its JSON.
 *
 * @param request identifier of the request
 * @param attempt number of the attempt
 * @param position position of the token
 * @param activation output of the previous stage
 * @param priority rank of the request
 * @param deadlineMs time left until the deadline, in milliseconds
 * @param chain the stages still to run, the receiver first
 * @param hints hints of the calling engine, {@code null} for none
 */
record StageRequestWithHints(String request, int attempt, int position, long activation, Rank priority, long deadlineMs,
		List<Stage> chain, StageHints hints) {

	static StageRequestWithHints of(StageRequest request, StageHints hints) {
		return new StageRequestWithHints(request.request(), request.attempt(), request.position(), request.activation(),
				request.priority(), request.deadlineMs(), request.chain(), hints);
	}

	StageRequest stageRequest() {
		return new StageRequest(this.request, this.attempt, this.position, this.activation, this.priority,
				this.deadlineMs, this.chain);
	}

}
