package org.medlardrum.coordination.claims;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;

/**
 * Writes segments by compare-and-set. A lost response is resolved by reading the segment
 * back: the same text means that the write took effect. An unchanged version means that
 * the write has not taken effect yet; it is then retried with the same expected version,
 * so that at most one of the writes succeeds.
 */
final class SegmentWriter {

	private static final int MAX_WRITES = 3;

	private final PlatformStore store;

	private final ClaimCounters counters;

	private StoreEntry written;

	SegmentWriter(PlatformStore store, ClaimCounters counters) {
		this.store = store;
		this.counters = counters;
	}

	/**
	 * Returns the entry of the last write that was {@code Done}.
	 * @return the entry
	 */
	StoreEntry written() {
		return this.written;
	}

	WriteResult write(String key, StoreVersion expected, String text) {
		boolean mayBeWritten = false;
		String reason = "";
		for (int i = 0; i < MAX_WRITES; i++) {
			this.counters.writes.increment();
			StoreResult<StoreEntry> result = this.store.compareAndSet(key, expected, text, null);
			switch (result) {
				case StoreResult.Ok<StoreEntry> ok -> {
					return done(ok.value());
				}
				case StoreResult.Conflict<StoreEntry> conflict -> {
					return (isOwnWrite(conflict.current(), text)) ? done(conflict.current()) : superseded();
				}
				case StoreResult.NotFound<StoreEntry> none -> {
					return superseded();
				}
				case StoreResult.Unavailable<StoreEntry> unavailable -> {
					return failed(mayBeWritten, unavailable.reason());
				}
				case StoreResult.Unknown<StoreEntry> unknown -> {
					this.counters.lostAnswers.increment();
					mayBeWritten = true;
					reason = unknown.reason();
				}
			}
			WriteResult decided = readBack(key, expected, text);
			if (decided != null) {
				return decided;
			}
		}
		return failed(mayBeWritten, reason);
	}

	/**
	 * Resolves a write whose response was lost by reading the key.
	 * @param key the key
	 * @param expected version before the write
	 * @param text text of the write
	 * @return the result, {@code null} when the write should be retried
	 */
	private WriteResult readBack(String key, StoreVersion expected, String text) {
		return switch (this.store.get(key)) {
			case StoreResult.Ok<StoreEntry> ok -> compareStored(ok.value(), expected, text);
			case StoreResult.NotFound<StoreEntry> none -> (expected.isAbsent()) ? null : superseded();
			case StoreResult.Conflict<StoreEntry> conflict -> null;
			case StoreResult.Unavailable<StoreEntry> unavailable -> new WriteResult.MayBeWritten(unavailable.reason());
			case StoreResult.Unknown<StoreEntry> unknown -> null;
		};
	}

	private WriteResult compareStored(StoreEntry entry, StoreVersion expected, String text) {
		if (isOwnWrite(entry, text)) {
			return done(entry);
		}
		return entry.version().isAfter(expected) ? superseded() : null;
	}

	private static boolean isOwnWrite(StoreEntry entry, String text) {
		return entry != null && entry.value().equals(text);
	}

	private WriteResult done(StoreEntry entry) {
		this.written = entry;
		return new WriteResult.Done();
	}

	private WriteResult superseded() {
		this.counters.conflicts.increment();
		return new WriteResult.Superseded();
	}

	private static WriteResult failed(boolean mayBeWritten, String reason) {
		return (mayBeWritten) ? new WriteResult.MayBeWritten(reason) : new WriteResult.NotWritten(reason);
	}

}
