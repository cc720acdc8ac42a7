package org.medlardrum.coordination;

/**
 * Port to the changes of the platform's store. A method blocks for at most the configured
 * timeout, plus {@code waitMs} if it has one. A failure of the store is a
 * {@link StoreResult}, never an exception.
 */
public interface ChangeFeed {

	/**
	 * Reads all keys with a prefix. The result is not a snapshot: it may already contain
	 * changes after its revision.
	 * @param prefix the prefix, empty for all keys
	 * @return one change for each key, and the revision after which to continue
	 */
	StoreResult<StoreChanges> read(String prefix);

	/**
	 * Waits for changes.
	 * @param prefix the prefix, empty for all keys
	 * @param afterRevision only changes with a larger revision are returned
	 * @param waitMs maximum wait for a change
	 * @return the changes, empty when the wait ended without one; {@code NotFound} when
	 * the store no longer keeps all changes after the revision
	 */
	StoreResult<StoreChanges> changes(String prefix, long afterRevision, long waitMs);

	/**
	 * Reads the store's revision. The result is linearizable: every change acknowledged
	 * before the call has at most this revision.
	 * @return the revision
	 */
	StoreResult<Long> revision();

}
