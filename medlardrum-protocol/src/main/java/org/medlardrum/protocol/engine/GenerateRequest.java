package org.medlardrum.protocol.engine;

import java.util.List;

import org.medlardrum.state.Rank;
import org.medlardrum.state.Stage;

/**
 * Body of {@code POST /v1/generate}, sent to the first engine of a chain.
 *
 * @param request identifier of the request
 * @param attempt number of the attempt, from 1
 * @param model model to run
 * @param version version of the model, empty for any
 * @param adapter adapter to run, empty for none
 * @param prompt the prompt
 * @param emitted tokens that were already delivered to the caller; generation continues
 * after them
 * @param maxTokens largest number of tokens, including the emitted ones
 * @param priority rank of the request
 * @param deadlineMs time left until the request's timeout, in milliseconds
 * @param layerCount number of layers of the model
 * @param chain the stages, in the order of their layers
 */
public record GenerateRequest(String request, int attempt, String model, String version, String adapter, String prompt,
		List<String> emitted, int maxTokens, Rank priority, long deadlineMs, int layerCount, List<Stage> chain) {
}
