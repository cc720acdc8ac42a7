package org.medlardrum.protocol.engine;

import java.util.List;

import org.medlardrum.state.Rank;
import org.medlardrum.state.Stage;

/**
 * Body of {@code POST /v1/stage}, sent by one engine to the next one of the chain for one
 * token.
 *
 * @param request identifier of the request
 * @param attempt number of the attempt
 * @param position position of the token among the generated tokens, from 0
 * @param activation output of the previous stage, represented by a number
 * @param priority rank of the request
 * @param deadlineMs time left until the request's timeout, in milliseconds
 * @param chain the stages still to run, the receiver first
 */
public record StageRequest(String request, int attempt, int position, long activation, Rank priority, long deadlineMs,
		List<Stage> chain) {
}
