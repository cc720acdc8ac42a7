package org.medlardrum.coordination.claims;

/**
 * Result of reading or extending the segments of a bucket.
 */
sealed interface WriteResult {

	/**
	 * The entries are in the store, or the index is up to date.
	 */
	record Done() implements WriteResult {
	}

	/**
	 * Another host has written to the bucket or may have. The index must be refreshed.
	 */
	record Superseded() implements WriteResult {
	}

	/**
	 * The segments could not be read, or nothing was written.
	 *
	 * @param reason short technical reason
	 */
	record NotWritten(String reason) implements WriteResult {
	}

	/**
	 * The entries may be in the store, now or later.
	 *
	 * @param reason short technical reason
	 */
	record MayBeWritten(String reason) implements WriteResult {
	}

}
