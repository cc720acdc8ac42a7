package org.medlardrum.entry.internal.host;

import org.medlardrum.decisions.ChainDecision;

/**
 * One event in the history of a request.
 */
sealed interface TraceEvent {

	/**
	 * Returns the time of the event.
	 * @return the time, in milliseconds since the epoch
	 */
	long atMs();

	/**
	 * An event with a name and a text.
	 *
	 * @param atMs time of the event, in milliseconds since the epoch
	 * @param event short name
	 * @param detail technical detail, without content of the caller's request
	 */
	record Note(long atMs, String event, String detail) implements TraceEvent {
	}

	/**
	 * A chain decision. It is serialised to JSON only when an operator requests it.
	 *
	 * @param atMs time of the event, in milliseconds since the epoch
	 * @param decision the decision
	 */
	record Planned(long atMs, ChainDecision decision) implements TraceEvent {
	}

}
