package org.medlardrum.coordination;

/**
 * Port to the changes of the platform's store. A method blocks for at most the configured
 * timeout, plus {@code waitMs} if it has one. A failure of the store is a
 * {@link StoreResult}, never an exception.
 */
public interface ChangeFeed {

	/**
	 * Reads all keys with a prefix. The result is not a snapshot: it may already contain
	 * changes after its version.
	 * @param prefix the prefix, empty for all keys
	 * @return one change for each key, and the version after which to continue
	 */
	StoreResult<StoreChanges> read(String prefix);

	/**
	 * Waits for changes.
	 * @param prefix the prefix, empty for all keys
	 * @param after only changes after this version are returned; the store counts them by
	 * the revision, so the answer may be of a later era
	 * @param waitMs maximum wait for a change
	 * @return the changes, empty when the wait ended without one; {@code NotFound} when
	 * the store does not keep all changes after the version
	 */
	StoreResult<StoreChanges> changes(String prefix, StoreVersion after, long waitMs);

	/**
	 * Returns the changes after a version without a wait for further ones, over a new
	 * connection, because open connections may be unresponsive.
	 * @param prefix the prefix, empty for all keys
	 * @param after only changes after this version are returned
	 * @return the changes, as {@link #changes} returns them
	 */
	StoreResult<StoreChanges> changesNow(String prefix, StoreVersion after);

	/**
	 * Ends a call for changes that is waiting on an unresponsive connection. The call
	 * fails, and the next one uses a new connection.
	 */
	void cancelChanges();

	/**
	 * Reads the store's version. The result is linearizable: every change acknowledged
	 * before the call has at most this version, unless the store has lost it.
	 * @return the version
	 */
	StoreResult<StoreVersion> version();

}
