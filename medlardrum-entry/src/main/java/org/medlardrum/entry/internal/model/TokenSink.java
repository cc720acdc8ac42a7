package org.medlardrum.entry.internal.model;

import java.io.IOException;

/**
 * Receiver of the tokens of one answer, in order and without repetition.
 */
@FunctionalInterface
public interface TokenSink {

	/**
	 * Takes the next token.
	 * @param text text of the token
	 * @throws IOException if the caller has gone
	 */
	void onToken(String text) throws IOException;

}
