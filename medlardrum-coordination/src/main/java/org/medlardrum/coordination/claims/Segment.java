package org.medlardrum.coordination.claims;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.gson.JsonParseException;

/**
 * One segment as read or written last.
 *
 * @param bucket bucket of the segment
 * @param number number of the segment, from 1
 * @param revision revision in the store, 0 when the segment does not exist
 * @param text lines of the segment
 */
record Segment(int bucket, long number, long revision, String text) {

	/** Largest size in bytes. */
	static final int MAX_BYTES = 64 * 1024;

	/** Size up to which entries are added, so that the seal always fits. */
	static final int MAX_ENTRY_BYTES = MAX_BYTES - 64;

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
		return new Segment(bucket, number, 0, "");
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

	boolean hasRoomFor(String lines) {
		return this.text.isEmpty() || sizeBytes(this.text) + sizeBytes(lines) <= MAX_ENTRY_BYTES;
	}

	/**
	 * Parses the lines after a given position.
	 * @param fromIndex position in the text
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
