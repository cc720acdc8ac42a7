package org.medlardrum.entry.internal.model;

import java.io.IOException;

/**
 * Receives the generated tokens of one completion, in order and each one once.
 */
@FunctionalInterface
public interface TokenSink {

	/**
	 * Receives the next token.
	 * @param text text of the token
	 * @throws IOException if the caller disconnected
	 */
	void onToken(String text) throws IOException;

}
