package org.medlardrum.coordination;

/**
 * Port to the changes of the platform's store. Every method blocks for at most its wait
 * and the configured timeout, and never throws for a failure of the store.
 */
public interface ChangeFeed {

	/**
	 * Reads all keys with a prefix. The result is not a snapshot: changes after its
	 * revision may already be in it.
	 * @param prefix the prefix, empty for all keys
	 * @return one change for each key, and the revision after which to continue
	 */
	StoreResult<StoreChanges> read(String prefix);

	/**
	 * Waits for changes.
	 * @param prefix the prefix, empty for all keys
	 * @param afterRevision revision after which changes are wanted
	 * @param waitMs longest wait
	 * @return the changes, none when the wait ended; {@code NotFound} when the store no
	 * longer has all changes after the revision
	 */
	StoreResult<StoreChanges> changes(String prefix, long afterRevision, long waitMs);

	/**
	 * Reads the store's revision. The result is linearizable: every change acknowledged
	 * before the call has at most this revision.
	 * @return the revision
	 */
	StoreResult<Long> revision();

}
