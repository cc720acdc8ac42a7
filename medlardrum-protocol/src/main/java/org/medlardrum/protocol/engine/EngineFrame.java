package org.medlardrum.protocol.engine;

import java.util.List;

import org.medlardrum.state.EngineReport;
import org.medlardrum.state.LayerRange;

/**
 * One line of the response to {@code POST /v1/generate}.
 */
public sealed interface EngineFrame {

	/**
	 * Returns the identifier of the request.
	 * @return the identifier
	 */
	String request();

	/**
	 * Returns the number of the attempt.
	 * @return the number, from 1
	 */
	int attempt();

	/**
	 * A generated token.
	 *
	 * @param request identifier of the request
	 * @param attempt number of the attempt
	 * @param position position of the token among the generated tokens, from 0
	 * @param text text of the token
	 * @param layers layer ranges that ran for the token, in order
	 */
	record Token(String request, int attempt, int position, String text,
			List<LayerRange> layers) implements EngineFrame {
	}

	/**
	 * The regular end of the generation.
	 *
	 * @param request identifier of the request
	 * @param attempt number of the attempt
	 * @param tokenCount number of all generated tokens, including those emitted by
	 * earlier attempts
	 * @param reason {@code stop} or {@code length}
	 * @param loads reports of the engines of the chain
	 * @param stageTimesUs mean time of each stage for one token, including its link, in
	 * microseconds
	 */
	record End(String request, int attempt, int tokenCount, String reason, List<EngineReport> loads,
			List<Long> stageTimesUs) implements EngineFrame {
	}

	/**
	 * An explicit error.
	 *
	 * @param request identifier of the request
	 * @param attempt number of the attempt
	 * @param ran {@code no} when the engine did not run the request, otherwise
	 * {@code unknown}
	 * @param server engine that failed or refused the request
	 * @param position position of the first missing token
	 * @param code {@code stage-failed}, {@code overloaded}, {@code leaving},
	 * {@code wrong-model}, {@code cancelled}, {@code expired} or {@code bad-request}
	 * @param detail text for operators
	 */
	record Error(String request, int attempt, String ran, String server, int position, String code,
			String detail) implements EngineFrame {
	}

}
