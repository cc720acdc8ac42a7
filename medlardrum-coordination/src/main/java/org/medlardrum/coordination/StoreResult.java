package org.medlardrum.coordination;

/**
 * Result of a call to the platform's store.
 *
 * @param <T> type of the value
 */
public sealed interface StoreResult<T> {

	/**
	 * The call succeeded.
	 *
	 * @param value the value
	 * @param <T> type of the value
	 */
	record Ok<T>(T value) implements StoreResult<T> {
	}

	/**
	 * The key does not exist, or a watch ended without a change.
	 *
	 * @param <T> type of the value
	 */
	record NotFound<T>() implements StoreResult<T> {
	}

	/**
	 * A compare-and-set found another revision. Nothing was written.
	 *
	 * @param current the entry found, {@code null} when the key does not exist
	 * @param <T> type of the value
	 */
	record Conflict<T>(StoreEntry current) implements StoreResult<T> {
	}

	/**
	 * The store could not be reached or rejected the call. Nothing was written.
	 *
	 * @param reason short technical reason
	 * @param <T> type of the value
	 */
	record Unavailable<T>(String reason) implements StoreResult<T> {
	}

	/**
	 * The response was lost. A write may have taken effect.
	 *
	 * @param reason short technical reason
	 * @param <T> type of the value
	 */
	record Unknown<T>(String reason) implements StoreResult<T> {
	}

}
