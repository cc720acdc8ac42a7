package org.medlardrum.entry.internal.host;

import org.medlardrum.decisions.ChainDecision;

/**
 * One event in the history of a request.
 */
sealed interface TraceEvent {

	/**
	 * Returns the time of the event.
	 * @return the clock reading, in milliseconds
	 */
	long atMs();

	/**
	 * An event that is told in words.
	 *
	 * @param atMs clock reading, in milliseconds
	 * @param event short name
	 * @param detail technical detail without content of the caller
	 */
	record Note(long atMs, String event, String detail) implements TraceEvent {
	}

	/**
	 * A chain decision. It is turned into JSON only when an operator asks.
	 *
	 * @param atMs clock reading, in milliseconds
	 * @param decision the decision
	 */
	record Planned(long atMs, ChainDecision decision) implements TraceEvent {
	}

}
