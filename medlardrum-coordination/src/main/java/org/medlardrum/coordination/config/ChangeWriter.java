package org.medlardrum.coordination.config;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.state.config.ConfigChange;
import org.medlardrum.state.config.ConfigCodec;

/**
 * Creates entries of the configuration log. When the store's response to a write is lost,
 * reads the entry back to determine whether it was created.
 */
final class ChangeWriter {

	/** Writes of one change after which its outcome is reported as unknown. */
	private static final int MAX_WRITES = 5;

	private final PlatformStore store;

	ChangeWriter(PlatformStore store) {
		this.store = store;
	}

	/**
	 * Creates the entry of a change. A change whose response was lost is written again.
	 * This is safe because both writes create the same key with the same text, so at most
	 * one takes effect.
	 * @param change the change
	 * @return {@code Ok} when the change is in the log, {@code Conflict} when another
	 * change has its version, {@code Unknown} when neither could be determined
	 */
	StoreResult<StoreEntry> create(ConfigChange change) {
		String key = LogReader.changeKey(change.version());
		String text = ConfigCodec.writeChange(change);
		StoreResult<StoreEntry> result = null;
		boolean responseLost = false;
		for (int attempt = 0; attempt < MAX_WRITES; attempt++) {
			result = resolveConflict(this.store.compareAndSet(key, StoreVersion.ABSENT, text, null), change);
			if (result instanceof StoreResult.Unknown<StoreEntry>) {
				responseLost = true;
				StoreResult<StoreEntry> found = this.store.get(key);
				if (found instanceof StoreResult.Ok<StoreEntry> ok) {
					return resolveConflict(new StoreResult.Conflict<>(ok.value()), change);
				}
			}
			else if (!responseLost || !(result instanceof StoreResult.Unavailable<StoreEntry>)) {
				return result;
			}
		}
		return new StoreResult.Unknown<>((result instanceof StoreResult.Unavailable<StoreEntry> unavailable)
				? "a response was lost, then the store was unavailable: " + unavailable.reason()
				: "the response was lost repeatedly");
	}

	/**
	 * Replaces a damaged entry.
	 * @param change the intact change of the same version
	 * @param damaged the entry that the store holds
	 * @return result of the write
	 */
	StoreResult<StoreEntry> replace(ConfigChange change, StoreEntry damaged) {
		return this.store.compareAndSet(LogReader.changeKey(change.version()), damaged.version(),
				ConfigCodec.writeChange(change), null);
	}

	private static StoreResult<StoreEntry> resolveConflict(StoreResult<StoreEntry> result, ConfigChange change) {
		if (result instanceof StoreResult.Conflict<StoreEntry> conflict && conflict.current() != null) {
			// Compares the whole text, because a damaged entry may still carry the same
			// changeId.
			boolean own = ConfigCodec.readChange(conflict.current().value())
				.map(ConfigCodec::writeChange)
				.filter(ConfigCodec.writeChange(change)::equals)
				.isPresent();
			return own ? new StoreResult.Ok<>(conflict.current()) : result;
		}
		return result;
	}

}
