package org.medlardrum.decisions.pool;

import java.util.Optional;

/**
 * Order of the events of a stream that a caller has received, by which the events of a
 * continuation are judged.
 *
 * @param lastId identifier of the last event that has one, negative for none
 * @param count number of events that have an identifier
 * @param consecutive whether each identifier was the one after its predecessor
 */
public record EventOrder(long lastId, int count, boolean consecutive) {

	/** No event was received. */
	public static final EventOrder NONE = new EventOrder(-1, 0, true);

	/** Events from which on their identifiers are known to be consecutive. */
	private static final int MIN_CONSECUTIVE = 2;

	/**
	 * Returns the order after one more event.
	 * @param id identifier of the event, negative for none
	 * @return the order
	 */
	public EventOrder with(long id) {
		if (id < 0) {
			return this;
		}
		return new EventOrder(id, this.count + 1, this.consecutive && (this.count == 0 || id == this.lastId + 1));
	}

	/**
	 * Returns why an event of another server does not continue the stream. An event that
	 * the caller has received already is no fault; it is to be skipped.
	 * @param id identifier of the event, negative for none
	 * @param previousId identifier of the same server's event before it, negative for
	 * none
	 * @return the reason, empty if the event continues the stream
	 */
	public Optional<String> continuationFault(long id, long previousId) {
		if (id < 0) {
			return Optional.of("an event without an identifier");
		}
		if (this.count == 0) {
			return Optional.of("the events before have no identifiers");
		}
		if (id <= previousId) {
			return Optional.of("event " + id + " after event " + previousId + " of the same server");
		}
		if (this.consecutive && this.count >= MIN_CONSECUTIVE && id > this.lastId + 1) {
			return Optional.of("event " + id + " after event " + this.lastId);
		}
		return Optional.empty();
	}

}
