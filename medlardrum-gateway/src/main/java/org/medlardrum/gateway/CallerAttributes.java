package org.medlardrum.gateway;

import java.util.Optional;

/**
 * What a caller says of its request.
 *
 * @param requestId identifier of this attempt of the caller, empty for none
 * @param deadlineMs time that the caller waits, 0 for no limit
 * @param apiKey API key
 * @param promptTokens tokens of the prompt, 0 for none
 * @param maxGeneratedTokens largest number of tokens to write, 0 if unknown
 * @param estimatedGeneratedTokens the caller's estimate of the answer, 0 for none
 * @param lastEventId last event that the caller has, negative for none
 */
public record CallerAttributes(String requestId, long deadlineMs, Optional<String> apiKey, int promptTokens,
		int maxGeneratedTokens, int estimatedGeneratedTokens, long lastEventId) {
}
