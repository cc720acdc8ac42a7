package org.medlardrum.protocol.caller;

/**
 * One message of a chat.
 *
 * @param role author of the message, for example {@code user}
 * @param content text of the message
 */
public record ChatMessage(String role, String content) {
}
