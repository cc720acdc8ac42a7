package org.medlardrum.coordination.follow;

/**
 * What a follower knows of the store's availability. Each answer and each failed call, of
 * either of its threads, is one transition. An answer to any call ends an outage for both
 * threads.
 */
sealed interface StoreState {

	/** Delay before the store's version is read again for the first time. */
	long FIRST_RETRY_MS = 100;

	/** Longest delay between two reads of the store's version. */
	long MAX_RETRY_MS = 300;

	/**
	 * Returns the last time at which the store is known to have accepted a call of this
	 * host or another one, which it answered later. The current outage has not begun
	 * before.
	 * @return the time on the monotonic clock
	 */
	long provenAtMs();

	/**
	 * Returns the state after an answer of the store. A call that has waited may be
	 * answered while the store refuses new ones, so only its start counts.
	 * @param sentMs time at which the call was sent, on the monotonic clock
	 * @return the state
	 */
	default StoreState afterAnswer(long sentMs) {
		return new Available(Math.max(provenAtMs(), sentMs));
	}

	/**
	 * Returns the state after another host has told of a read that the store answered.
	 * This says nothing about calls of this host.
	 * @param readAtMs time at which that host read the store, on the monotonic clock
	 * @return the state
	 */
	default StoreState afterPeerAnswer(long readAtMs) {
		long latestMs = Math.max(provenAtMs(), readAtMs);
		return switch (this) {
			case Available available -> new Available(latestMs);
			case Unconfirmed unconfirmed -> new Unconfirmed(latestMs);
			case Away away -> new Away(latestMs, away.retryMs());
		};
	}

	/**
	 * Returns the state after a call for changes that failed. The store may end a waiting
	 * call at any time, so this alone is no outage.
	 * @return the state
	 */
	default StoreState afterFailedWait() {
		return switch (this) {
			case Available available -> new Unconfirmed(available.provenAtMs());
			case Unconfirmed unconfirmed -> unconfirmed;
			case Away away -> away;
		};
	}

	/**
	 * Returns the state after a read of the store's version, or of all keys, that failed.
	 * @return the state, which says when to read the version again
	 */
	default Away afterFailedRead() {
		return switch (this) {
			case Away away -> new Away(away.provenAtMs(), Math.min(MAX_RETRY_MS, away.retryMs() * 2));
			case Available available -> new Away(available.provenAtMs(), FIRST_RETRY_MS);
			case Unconfirmed unconfirmed -> new Away(unconfirmed.provenAtMs(), FIRST_RETRY_MS);
		};
	}

	/**
	 * The store has answered the last call.
	 *
	 * @param provenAtMs last time at which the store is known to have accepted a call
	 */
	record Available(long provenAtMs) implements StoreState {
	}

	/**
	 * A call for changes has failed, and the store's version has not been read since.
	 *
	 * @param provenAtMs last time at which the store is known to have accepted a call
	 */
	record Unconfirmed(long provenAtMs) implements StoreState {
	}

	/**
	 * The store cannot be read. With a valid copy only the version is read again, so that
	 * an outage costs the calls of one thread.
	 *
	 * @param provenAtMs last time at which the store is known to have accepted a call
	 * @param retryMs delay before the version is read again
	 */
	record Away(long provenAtMs, long retryMs) implements StoreState {
	}

}
