package org.medlardrum.gateway;

import java.util.List;
import java.util.Optional;

/**
 * Attributes of a request, read from the caller's headers.
 *
 * @param requestId identifier of this attempt by the caller, empty for none
 * @param deadlineMs time the caller waits for the response in milliseconds, 0 for no
 * limit
 * @param apiKey API key
 * @param promptTokens number of prompt tokens, 0 if not given
 * @param maxGeneratedTokens largest number of tokens to generate, 0 if unknown
 * @param estimatedGeneratedTokens the caller's estimate of the number of generated
 * tokens, 0 for none
 * @param lastEventId identifier of the last event the caller has received, negative for
 * none
 * @param promptParts identifiers of the parts of the prompt in order, empty if not given;
 * prompts share parts, except the last one
 */
public record CallerAttributes(String requestId, long deadlineMs, Optional<String> apiKey, int promptTokens,
		int maxGeneratedTokens, int estimatedGeneratedTokens, long lastEventId, List<String> promptParts) {
}
