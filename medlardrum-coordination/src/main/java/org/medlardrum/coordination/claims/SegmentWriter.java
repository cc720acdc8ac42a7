package org.medlardrum.coordination.claims;

import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;

/**
 * Writes segments by compare-and-set. A lost response is resolved by reading the segment
 * back: the same text means that the write took effect. An unchanged revision means that
 * the write has not taken effect yet; it is then retried with the same expected revision,
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

	WriteResult write(String key, long expectedRevision, String text) {
		boolean mayBeWritten = false;
		String reason = "";
		for (int i = 0; i < MAX_WRITES; i++) {
			this.counters.writes.increment();
			StoreResult<StoreEntry> result = this.store.compareAndSet(key, expectedRevision, text, null);
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
			WriteResult decided = readBack(key, expectedRevision, text);
			if (decided != null) {
				return decided;
			}
		}
		return failed(mayBeWritten, reason);
	}

	/**
	 * Resolves a write whose response was lost by reading the key.
	 * @param key the key
	 * @param expectedRevision revision before the write
	 * @param text text of the write
	 * @return the result, {@code null} when the write should be retried
	 */
	private WriteResult readBack(String key, long expectedRevision, String text) {
		return switch (this.store.get(key)) {
			case StoreResult.Ok<StoreEntry> ok -> compareStored(ok.value(), expectedRevision, text);
			case StoreResult.NotFound<StoreEntry> none ->
				(expectedRevision != PlatformStore.ABSENT) ? superseded() : null;
			case StoreResult.Conflict<StoreEntry> conflict -> null;
			case StoreResult.Unavailable<StoreEntry> unavailable -> new WriteResult.MayBeWritten(unavailable.reason());
			case StoreResult.Unknown<StoreEntry> unknown -> null;
		};
	}

	private WriteResult compareStored(StoreEntry entry, long expectedRevision, String text) {
		if (isOwnWrite(entry, text)) {
			return done(entry);
		}
		return (entry.revision() > expectedRevision) ? superseded() : null;
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
