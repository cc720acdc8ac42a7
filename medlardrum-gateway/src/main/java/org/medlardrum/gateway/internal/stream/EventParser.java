package org.medlardrum.gateway.internal.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Splits a {@code text/event-stream} into complete events. Bytes of an incomplete event
 * are kept back, so that a stream that breaks in the middle of an event can be resumed at
 * another server. After a block that is not an event, no more events are returned.
 */
final class EventParser {

	/** Size limit of an event, far above the 480 bytes of the users' largest. */
	static final int MAX_EVENT_BYTES = 64 * 1024;

	private static final String ID_FIELD = "id";

	private static final String DATA_FIELD = "data";

	private static final String TYPE_FIELD = "event";

	/** Names of fields; the empty name begins a comment. */
	private static final Set<String> FIELDS = Set.of(ID_FIELD, DATA_FIELD, TYPE_FIELD, "retry", "");

	/** A header that servers may send as the first line of an event. */
	private static final Pattern NUMBERED_HEADER = Pattern.compile("[a-z][a-z0-9-]*:[ ]?[0-9]+");

	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	private boolean lineEmpty = true;

	private boolean malformed;

	/**
	 * Adds bytes of the stream.
	 * @param bytes the bytes
	 * @return the events that are complete now
	 */
	List<StreamedEvent> add(byte[] bytes) {
		List<StreamedEvent> events = new ArrayList<>();
		if (this.malformed || isTooLarge()) {
			return events;
		}
		for (byte value : bytes) {
			this.partial.write(value);
			if (value == '\n') {
				if (this.lineEmpty && this.partial.size() > 1) {
					Optional<StreamedEvent> event = parse(this.partial.toByteArray());
					if (event.isEmpty()) {
						this.malformed = true;
						return events;
					}
					this.partial.reset();
					events.add(event.get());
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
		return partialBytes() > 0;
	}

	/**
	 * Returns the length of the incomplete event.
	 * @return the length in bytes
	 */
	int partialBytes() {
		return this.partial.size();
	}

	/**
	 * Returns whether the current event has exceeded {@link #MAX_EVENT_BYTES}. No more
	 * bytes are stored then.
	 * @return {@code true} if the event is too large
	 */
	boolean isTooLarge() {
		return this.partial.size() > MAX_EVENT_BYTES;
	}

	/**
	 * Returns whether a block was received that is not an event.
	 * @return {@code true} if the bytes are not those of a stream of events
	 */
	boolean isMalformed() {
		return this.malformed;
	}

	private static Optional<StreamedEvent> parse(byte[] block) {
		long id = StreamedEvent.NO_ID;
		boolean hasContent = false;
		boolean hasHeader = false;
		boolean firstLine = true;
		for (String line : new String(block, StandardCharsets.UTF_8).split("\r*\n")) {
			if (line.isEmpty()) {
				continue;
			}
			int colon = line.indexOf(':');
			String name = (colon < 0) ? line : line.substring(0, colon);
			if (!FIELDS.contains(name)) {
				hasHeader = firstLine && NUMBERED_HEADER.matcher(line).matches();
				if (!hasHeader) {
					return Optional.empty();
				}
			}
			if (name.equals(ID_FIELD) && id == StreamedEvent.NO_ID) {
				id = number(line.substring(Math.min(line.length(), name.length() + 1)));
			}
			hasContent |= name.equals(ID_FIELD) || name.equals(DATA_FIELD) || name.equals(TYPE_FIELD);
			firstLine = false;
		}
		return (hasContent || !hasHeader) ? Optional.of(new StreamedEvent(block, id, hasContent)) : Optional.empty();
	}

	private static long number(String text) {
		try {
			return Long.parseLong(text.trim());
		}
		catch (NumberFormatException ex) {
			return StreamedEvent.NO_ID;
		}
	}

}
