package org.medlardrum.gateway.internal.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a {@code text/event-stream} into complete events. Bytes of an incomplete event
 * are kept back, so that a stream that breaks in the middle of an event can be resumed at
 * another server.
 */
final class EventParser {

	/** Size limit of an event, far above the 480 bytes of the users' largest. */
	static final int MAX_EVENT_BYTES = 64 * 1024;

	private static final String ID_FIELD = "id:";

	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	private boolean lineEmpty = true;

	/**
	 * Adds bytes of the stream.
	 * @param bytes the bytes
	 * @return the events that are complete now
	 */
	List<StreamedEvent> add(byte[] bytes) {
		List<StreamedEvent> events = new ArrayList<>();
		if (isTooLarge()) {
			return events;
		}
		for (byte value : bytes) {
			this.partial.write(value);
			if (value == '\n') {
				if (this.lineEmpty && this.partial.size() > 1) {
					byte[] event = this.partial.toByteArray();
					this.partial.reset();
					events.add(new StreamedEvent(event, id(event)));
				}
				this.lineEmpty = true;
			}
			else if (value != '\r') {
				this.lineEmpty = false;
			}
		}
		return events;
	}

	/**
	 * Returns whether the bytes of an incomplete event are buffered.
	 * @return {@code true} if bytes are buffered
	 */
	boolean hasPartialEvent() {
		return this.partial.size() > 0;
	}

	/**
	 * Returns whether the current event has exceeded {@link #MAX_EVENT_BYTES}. No more
	 * bytes are stored then.
	 * @return {@code true} if the event is too large
	 */
	boolean isTooLarge() {
		return this.partial.size() > MAX_EVENT_BYTES;
	}

	private static long id(byte[] event) {
		for (String line : new String(event, StandardCharsets.UTF_8).split("\r?\n")) {
			if (line.startsWith(ID_FIELD)) {
				try {
					return Long.parseLong(line.substring(ID_FIELD.length()).trim());
				}
				catch (NumberFormatException ex) {
					return StreamedEvent.NO_ID;
				}
			}
		}
		return StreamedEvent.NO_ID;
	}

}
