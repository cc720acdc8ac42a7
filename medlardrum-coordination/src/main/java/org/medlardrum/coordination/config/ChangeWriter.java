package org.medlardrum.coordination.config;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.state.config.ConfigChange;
import org.medlardrum.state.config.ConfigCodec;

/**
 * Creates an entry of the log and finds out whether it was created when the store's
 * answer is lost.
 */
final class ChangeWriter {

	/** Writes of one change whose answer is lost before the outcome counts as unknown. */
	private static final int MAX_LOST_ANSWERS = 5;

	private final PlatformStore store;

	ChangeWriter(PlatformStore store) {
		this.store = store;
	}

	/**
	 * Creates the entry of a change. A change whose answer was lost is written again:
	 * both writes create the same key with the same text, so at most one takes effect and
	 * either is the same change.
	 * @param change the change
	 * @return {@code Ok} when the change is in the log, {@code Conflict} when another
	 * change has its version, {@code Unknown} when neither could be determined
	 */
	StoreResult<StoreEntry> create(ConfigChange change) {
		String key = LogReader.changeKey(change.version());
		String text = ConfigCodec.writeChange(change);
		StoreResult<StoreEntry> result = null;
		boolean lost = false;
		for (int attempt = 0; attempt < MAX_LOST_ANSWERS; attempt++) {
			result = ownOrConflict(this.store.compareAndSet(key, PlatformStore.ABSENT, text, null), change);
			if (result instanceof StoreResult.Unknown<StoreEntry>) {
				lost = true;
				StoreResult<StoreEntry> found = this.store.get(key);
				if (found instanceof StoreResult.Ok<StoreEntry> ok) {
					return ownOrConflict(new StoreResult.Conflict<>(ok.value()), change);
				}
			}
			else if (!lost || !(result instanceof StoreResult.Unavailable<StoreEntry>)) {
				return result;
			}
		}
		return new StoreResult.Unknown<>((result instanceof StoreResult.Unavailable<StoreEntry> unavailable)
				? "a response was lost, then: " + unavailable.reason() : "the response was lost repeatedly");
	}

	/**
	 * Replaces a damaged entry.
	 * @param change the intact change of the same version
	 * @param damaged the entry found
	 * @return result of the write
	 */
	StoreResult<StoreEntry> replace(ConfigChange change, StoreEntry damaged) {
		return this.store.compareAndSet(LogReader.changeKey(change.version()), damaged.revision(),
				ConfigCodec.writeChange(change), null);
	}

	private static StoreResult<StoreEntry> ownOrConflict(StoreResult<StoreEntry> result, ConfigChange change) {
		if (result instanceof StoreResult.Conflict<StoreEntry> conflict && conflict.current() != null) {
			// The whole text is compared: a damaged entry may still carry the changeId.
			boolean own = ConfigCodec.readChange(conflict.current().value())
				.map(ConfigCodec::writeChange)
				.filter(ConfigCodec.writeChange(change)::equals)
				.isPresent();
			return own ? new StoreResult.Ok<>(conflict.current()) : result;
		}
		return result;
	}

}
