package org.medlardrum.coordination.claims;

/**
 * Result of an attempt to read or extend the segments of a bucket.
 */
sealed interface WriteResult {

	/**
	 * The entries are in the store, or the index is up to date.
	 */
	record Done() implements WriteResult {
	}

	/**
	 * Another host wrote the bucket meanwhile. The index must be refreshed.
	 */
	record Superseded() implements WriteResult {
	}

	/**
	 * Nothing was written.
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
