package org.medlardrum.gateway.internal.stream;

/**
 * A complete event of a stream.
 *
 * @param bytes bytes of the event, including the empty line that ends it
 * @param id identifier of the event, {@link #NO_ID} for none
 * @param hasContent whether it is more than a comment or a time for reconnection
 */
record StreamedEvent(byte[] bytes, long id, boolean hasContent) {

	/** Identifier of an event that has none or one that is not a number. */
	static final long NO_ID = -1;

}
