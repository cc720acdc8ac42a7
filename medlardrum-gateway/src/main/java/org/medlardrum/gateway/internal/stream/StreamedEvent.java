package org.medlardrum.gateway.internal.stream;

/**
 * A whole event of a stream.
 *
 * @param bytes the event with the empty line that ends it
 * @param id identifier of the event, {@link #NO_ID} for none
 */
record StreamedEvent(byte[] bytes, long id) {

	/** Identifier of an event without one, or with one that is no number. */
	static final long NO_ID = -1;

}
