package org.medlardrum.standins.internal.load;

/**
 * Receives the times of the tokens of one streamed answer.
 */
@FunctionalInterface
interface TokenListener {

	void onToken();

}
