package org.medlardrum.coordination.claims;

import java.util.List;
import java.util.TreeMap;
import java.util.function.LongSupplier;

import com.google.gson.JsonParseException;
import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreLease;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;

/**
 * Append-only segments of one claim bucket in the platform's store, and the index built
 * from them. Entries are appended to the last segment only. It is sealed before the next
 * one is created, so that the compare-and-set of a writer with an outdated index fails
 * instead of extending a segment that is no longer the last.
 */
final class BucketLog {

	/**
	 * Time to live of the lease to which a removed segment is attached. The store has no
	 * delete call, so the segment disappears when the lease expires.
	 */
	private static final long REMOVAL_TTL_MS = 10_000;

	/**
	 * Maximum number of segments removed in one pass, so that most of the store's request
	 * rate is left to claims.
	 */
	private static final int MAX_REMOVALS = 50;

	private final int bucket;

	private final PlatformStore store;

	private final SegmentWriter writer;

	private final LongSupplier retentionMs;

	/** Sealed segments by number. */
	private final TreeMap<Long, SealedSegment> sealedSegments = new TreeMap<>();

	private ClaimIndex index;

	private Segment lastSegment;

	private long indexCurrentAtMs;

	BucketLog(int bucket, PlatformStore store, ClaimCounters counters, LongSupplier retentionMs) {
		this.bucket = bucket;
		this.store = store;
		this.writer = new SegmentWriter(store, counters);
		this.retentionMs = retentionMs;
	}

	long retentionMs() {
		return this.retentionMs.getAsLong();
	}

	ClaimIndex index() {
		return this.index;
	}

	/**
	 * Returns whether the index may be used for a write. An index that is older than a
	 * quarter of the retention may not: the segment that it would write next may have
	 * been created, sealed and removed since, and creating it again would succeed.
	 * @param nowMs current time, in milliseconds since the epoch
	 * @return whether the index was refreshed or written recently
	 */
	boolean isUsable(long nowMs) {
		return this.lastSegment != null && nowMs - this.indexCurrentAtMs < this.retentionMs.getAsLong() / 4;
	}

	boolean isLoaded() {
		return this.lastSegment != null;
	}

	/**
	 * Brings the index up to date.
	 * @param nowMs time before the call, in milliseconds since the epoch
	 * @return {@code Done}, or {@code NotWritten} when the bucket could not be read
	 */
	WriteResult refresh(long nowMs) {
		try {
			WriteResult result = (isUsable(nowMs)) ? readAppended() : readAll();
			if (result instanceof WriteResult.Superseded) {
				result = readAll();
			}
			if (result instanceof WriteResult.Done) {
				this.indexCurrentAtMs = nowMs;
			}
			return result;
		}
		catch (JsonParseException | NumberFormatException ex) {
			this.lastSegment = null;
			return new WriteResult.NotWritten("bucket " + this.bucket + " does not parse: " + ex.getMessage());
		}
	}

	private WriteResult readAll() {
		return switch (this.store.list(Segment.prefix(this.bucket))) {
			case StoreResult.Ok<List<StoreEntry>> ok -> rebuild(ok.value());
			case StoreResult.NotFound<List<StoreEntry>> none -> rebuild(List.of());
			case StoreResult.Conflict<List<StoreEntry>> conflict -> new WriteResult.NotWritten("unexpected conflict");
			case StoreResult.Unavailable<List<StoreEntry>> unavailable ->
				new WriteResult.NotWritten(unavailable.reason());
			case StoreResult.Unknown<List<StoreEntry>> unknown -> new WriteResult.NotWritten(unknown.reason());
		};
	}

	private WriteResult rebuild(List<StoreEntry> entries) {
		this.lastSegment = null;
		this.sealedSegments.clear();
		this.index = new ClaimIndex(this.retentionMs);
		Segment segment = Segment.absent(this.bucket, 1);
		for (StoreEntry entry : entries) {
			segment = new Segment(this.bucket, Segment.number(entry.key()), entry.version(), entry.value());
			segment.entries(0).forEach(this.index::apply);
			recordIfSealed(segment);
		}
		// A removed segment is empty but has a version.
		boolean acceptsNoEntries = segment.isSealed() || segment.text().isEmpty() && !segment.version().isAbsent();
		this.lastSegment = (acceptsNoEntries) ? Segment.absent(this.bucket, segment.number() + 1) : segment;
		return new WriteResult.Done();
	}

	/**
	 * Reads the entries that were appended since the last read or write.
	 * @return {@code Superseded} when the segment was removed or its stored text does not
	 * start with the text read before
	 */
	private WriteResult readAppended() {
		while (true) {
			StoreResult<StoreEntry> result = this.store.get(this.lastSegment.key());
			if (result instanceof StoreResult.NotFound<StoreEntry>) {
				return (this.lastSegment.version().isAbsent()) ? new WriteResult.Done() : new WriteResult.Superseded();
			}
			if (!(result instanceof StoreResult.Ok<StoreEntry> ok)) {
				return new WriteResult.NotWritten("cannot read " + this.lastSegment.key() + ": " + result);
			}
			if (this.lastSegment.version().isAfter(ok.value().version())) {
				return new WriteResult.NotWritten("store returned older data of " + this.lastSegment.key());
			}
			if (!ok.value().value().startsWith(this.lastSegment.text()) || ok.value().value().isEmpty()) {
				return new WriteResult.Superseded();
			}
			int previousLength = this.lastSegment.text().length();
			this.lastSegment = new Segment(this.bucket, this.lastSegment.number(), ok.value().version(),
					ok.value().value());
			this.lastSegment.entries(previousLength).forEach(this.index::apply);
			if (!this.lastSegment.isSealed()) {
				return new WriteResult.Done();
			}
			startNextSegment();
		}
	}

	private void startNextSegment() {
		recordIfSealed(this.lastSegment);
		this.lastSegment = Segment.absent(this.bucket, this.lastSegment.number() + 1);
	}

	private void recordIfSealed(Segment segment) {
		if (segment.isSealed()) {
			this.sealedSegments.put(segment.number(), new SealedSegment(segment.version(), segment.newestAtMs()));
		}
	}

	/**
	 * Appends entries to the last segment. The write that fills the segment also seals
	 * it.
	 * @param entries the entries, together at most {@link Segment#MAX_BATCH_BYTES}
	 * @param nowMs time before the call, in milliseconds since the epoch
	 * @return the result; after {@code Superseded} the index must be refreshed
	 */
	WriteResult append(List<ClaimEntry> entries, long nowMs) {
		StringBuilder lines = new StringBuilder(this.lastSegment.text());
		entries.forEach((entry) -> lines.append(entry.line()));
		String text = lines.toString();
		if (Segment.sizeBytes(text) >= Segment.SEAL_AT_BYTES) {
			text += ClaimEntry.SEAL.line();
		}
		WriteResult result = this.writer.write(this.lastSegment.key(), this.lastSegment.version(), text);
		if (result instanceof WriteResult.Done) {
			entries.forEach(this.index::apply);
			this.indexCurrentAtMs = nowMs;
			this.lastSegment = new Segment(this.bucket, this.lastSegment.number(), this.writer.written().version(),
					text);
			if (this.lastSegment.isSealed()) {
				startNextSegment();
			}
		}
		return result;
	}

	/**
	 * Removes sealed segments whose newest entry is older than the retention. A removed
	 * segment is emptied and attached to a lease that is not renewed.
	 * @param nowMs current time, in milliseconds since the epoch
	 */
	void removeExpiredSegments(long nowMs) {
		this.index.removeExpired(nowMs);
		String leaseId = null;
		int removed = 0;
		while (!this.sealedSegments.isEmpty() && removed < MAX_REMOVALS) {
			long number = this.sealedSegments.firstKey();
			SealedSegment oldest = this.sealedSegments.get(number);
			if (nowMs - oldest.newestAtMs() <= this.retentionMs.getAsLong() || isNewest(number)) {
				return;
			}
			if (leaseId == null) {
				StoreResult<StoreLease> lease = this.store.createLease(REMOVAL_TTL_MS);
				if (!(lease instanceof StoreResult.Ok<StoreLease> ok)) {
					return;
				}
				leaseId = ok.value().id();
			}
			StoreResult<StoreEntry> result = this.store.compareAndSet(Segment.key(this.bucket, number),
					oldest.version(), "", leaseId);
			if (result instanceof StoreResult.Unavailable<StoreEntry>) {
				return;
			}
			// A conflict means that another host has removed the segment. If the
			// response was lost and the segment still exists, the next host that reads
			// the whole bucket sees it again.
			this.sealedSegments.remove(number);
			removed++;
		}
	}

	/**
	 * Returns whether a sealed segment is the newest that exists. It must be kept:
	 * without it a host that reads the bucket would start again at segment 1, while other
	 * hosts continue with the next number.
	 * @param number number of the segment
	 * @return whether its successor does not exist yet
	 */
	private boolean isNewest(long number) {
		return this.lastSegment == null
				|| (this.lastSegment.version().isAbsent() && number >= this.lastSegment.number() - 1);
	}

	/**
	 * A segment to which no more entries are appended.
	 *
	 * @param version version of its last write
	 * @param newestAtMs time of its newest entry
	 */
	private record SealedSegment(StoreVersion version, long newestAtMs) {
	}

}
