package org.medlardrum.standins.internal.load;

/**
 * Is called for each token of a streamed completion when it is received.
 */
@FunctionalInterface
interface TokenListener {

	void onToken();

}
