package org.medlardrum.coordination.claims;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.gson.JsonParseException;
import org.medlardrum.coordination.StoreVersion;

/**
 * One segment of a bucket, in the state of the last read or write.
 *
 * @param bucket bucket of the segment
 * @param number number of the segment, from 1
 * @param version version in the store, absent when the segment does not exist
 * @param text the entries, one JSON object a line
 */
record Segment(int bucket, long number, StoreVersion version, String text) {

	/** Maximum size of a segment. */
	static final int MAX_BYTES = 64 * 1024;

	/**
	 * Size at which a segment is sealed. Each write repeats the whole segment: if
	 * segments are sealed only at 64 KB, 1,000 claims/s write 7 MB/s.
	 */
	static final int SEAL_AT_BYTES = 16 * 1024;

	/** Maximum size of the entries of one write; a segment and its seal fit in 64 KB. */
	static final int MAX_BATCH_BYTES = MAX_BYTES - SEAL_AT_BYTES - 1_024;

	static String prefix(int bucket) {
		return String.format("claims/%02d/", bucket);
	}

	static String key(int bucket, long number) {
		return prefix(bucket) + String.format("%010d", number);
	}

	static long number(String key) {
		return Long.parseLong(key.substring(key.lastIndexOf('/') + 1));
	}

	static Segment absent(int bucket, long number) {
		return new Segment(bucket, number, StoreVersion.ABSENT, "");
	}

	static int sizeBytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8).length;
	}

	String key() {
		return key(this.bucket, this.number);
	}

	boolean isSealed() {
		return this.text.endsWith(ClaimEntry.SEAL.line());
	}

	/**
	 * Parses the lines from a position on.
	 * @param fromIndex index of the first character to parse, at the start of a line
	 * @return the entries
	 * @throws JsonParseException if a line is not an entry
	 */
	List<ClaimEntry> entries(int fromIndex) {
		return this.text.substring(fromIndex).lines().filter((line) -> !line.isEmpty()).map(ClaimEntry::parse).toList();
	}

	long newestAtMs() {
		return entries(0).stream().mapToLong(ClaimEntry::atMs).max().orElse(0);
	}

}
