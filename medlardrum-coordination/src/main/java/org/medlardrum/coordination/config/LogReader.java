package org.medlardrum.coordination.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.state.config.ConfigChange;
import org.medlardrum.state.config.ConfigCodec;
import org.medlardrum.state.config.ConfigDocuments;
import org.medlardrum.state.config.ConfigMerge;

/**
 * Reads the snapshot and the changes from the store. Entries returned by conflicting
 * writes are kept, so that stale reads of the store cannot hide them.
 */
final class LogReader {

	static final String SNAPSHOT_KEY = "config/snapshot";

	private final PlatformStore store;

	private final Map<Long, StoreEntry> conflictingEntries = new HashMap<>();

	LogReader(PlatformStore store) {
		this.store = store;
	}

	static String changeKey(long version) {
		return "config/change/" + version;
	}

	void keepConflicting(long version, StoreEntry entry) {
		this.conflictingEntries.put(version, entry);
	}

	StoreResult<LogHead> head() {
		StoreResult<StoreEntry> snapshot = this.store.get(SNAPSHOT_KEY);
		return switch (snapshot) {
			case StoreResult.Ok<StoreEntry> ok -> {
				Optional<ConfigDocuments> documents = ConfigCodec.readSnapshot(ok.value().value());
				// Without a readable snapshot, all changes are read from the first.
				yield replay(documents.orElseGet(ConfigMerge::empty), ok.value().version());
			}
			case StoreResult.NotFound<StoreEntry> missing -> replay(ConfigMerge.empty(), StoreVersion.ABSENT);
			default -> failure(snapshot);
		};
	}

	private StoreResult<LogHead> replay(ConfigDocuments start, StoreVersion snapshotStoreVersion) {
		ConfigDocuments documents = start;
		while (true) {
			StoreResult<StoreEntry> next = entry(documents.version() + 1);
			if (next instanceof StoreResult.NotFound<StoreEntry>) {
				return new StoreResult.Ok<>(new LogHead(documents, start.version(), snapshotStoreVersion, ""));
			}
			if (!(next instanceof StoreResult.Ok<StoreEntry> ok)) {
				return failure(next);
			}
			switch (EntryResult.apply(documents, ok.value().value())) {
				case EntryResult.Applied applied -> {
					documents = applied.documents();
				}
				case EntryResult.Damaged damaged -> {
					return new StoreResult.Ok<>(
							new LogHead(documents, start.version(), snapshotStoreVersion, damaged.reason()));
				}
			}
		}
	}

	StoreResult<ConfigChange> change(long version) {
		StoreResult<StoreEntry> entry = entry(version);
		if (!(entry instanceof StoreResult.Ok<StoreEntry> ok)) {
			return failure(entry);
		}
		Optional<ConfigChange> change = ConfigCodec.readChange(ok.value().value());
		return change.isPresent() ? new StoreResult.Ok<>(change.get())
				: new StoreResult.Unavailable<>("change " + version + " is not readable");
	}

	private StoreResult<StoreEntry> entry(long version) {
		StoreEntry conflicting = this.conflictingEntries.get(version);
		return (conflicting != null) ? new StoreResult.Ok<>(conflicting) : this.store.get(changeKey(version));
	}

	/**
	 * Converts a failure to a result of another value type.
	 * @param <T> value type of the returned result
	 * @param result a result that is not {@code Ok}
	 * @return the same failure
	 */
	static <T> StoreResult<T> failure(StoreResult<?> result) {
		return switch (result) {
			case StoreResult.NotFound<?> missing -> new StoreResult.NotFound<>();
			case StoreResult.Conflict<?> conflict -> new StoreResult.Conflict<>(conflict.current());
			case StoreResult.Unavailable<?> unavailable -> new StoreResult.Unavailable<>(unavailable.reason());
			case StoreResult.Unknown<?> unknown -> new StoreResult.Unknown<>(unknown.reason());
			case StoreResult.Ok<?> ok -> throw new IllegalArgumentException("Not a failure: " + ok);
		};
	}

}
