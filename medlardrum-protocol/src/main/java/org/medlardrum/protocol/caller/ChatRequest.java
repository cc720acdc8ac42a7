package org.medlardrum.protocol.caller;

import java.util.List;

/**
 * Body of {@code POST /v1/chat/completions}.
 *
 * @param model name of the route
 * @param messages messages, oldest first
 * @param maxTokens largest number of tokens to generate, 0 for the route's limit
 * @param stream whether the response is sent as server-sent events
 */
public record ChatRequest(String model, List<ChatMessage> messages, int maxTokens, boolean stream) {

	public ChatRequest {
		messages = List.copyOf(messages);
	}

	/**
	 * Returns the prompt for the engines: one {@code role: content} line for each
	 * message.
	 * @return the prompt
	 */
	public String prompt() {
		StringBuilder prompt = new StringBuilder();
		for (ChatMessage message : this.messages) {
			if (!prompt.isEmpty()) {
				prompt.append('\n');
			}
			prompt.append(message.role()).append(": ").append(message.content());
		}
		return prompt.toString();
	}

}
