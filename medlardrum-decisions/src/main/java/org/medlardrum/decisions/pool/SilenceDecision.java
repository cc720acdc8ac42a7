package org.medlardrum.decisions.pool;

/**
 * What is done about a silent attempt of a stream. The attempt itself goes on in any
 * case.
 */
public sealed interface SilenceDecision {

	/** Another chain is tried if it has so much room that it slows down nobody. */
	record TrySpareChain() implements SilenceDecision {
	}

	/** Another chain is tried if any has room. */
	record TryAnyChain() implements SilenceDecision {
	}

	/**
	 * No other chain is tried now.
	 *
	 * @param reason the reason, as logged
	 */
	record Keep(String reason) implements SilenceDecision {
	}

}
