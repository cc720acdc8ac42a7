package org.medlardrum.standins.internal.engine;

import org.medlardrum.protocol.engine.GenerateRequest;

/**
 * Facts that the stand-in's engines pass to each other with a stage request, in its JSON
 * member {@code hints}. A stage request without hints runs without prefill and without
 * checks of the model.
 *
 * @param model model of the request
 * @param version version of the model, empty for any
 * @param adapter adapter, empty for none
 * @param prompt the prompt, only with the first step of a sequence
 * @param emittedTokens number of resumed tokens to prefill
 * @param arrivedAtUs arrival of the sequence at the head, in microseconds
 * @param report whether the response must hold the load reports
 */
public record StageHints(String model, String version, String adapter, String prompt, int emittedTokens,
		long arrivedAtUs, boolean report) {

	static StageHints of(GenerateRequest request, boolean first, long arrivedAtUs, boolean report) {
		return new StageHints(request.model(), request.version(), request.adapter(), (first) ? request.prompt() : null,
				request.emitted().size(), arrivedAtUs, report);
	}

}
