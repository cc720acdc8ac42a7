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
	 * Returns the time of the store's last answer.
	 * @return the time on the monotonic clock
	 */
	long answeredAtMs();

	/**
	 * Returns the state after an answer of the store.
	 * @param nowMs time of the answer on the monotonic clock
	 * @return the state
	 */
	default StoreState afterAnswer(long nowMs) {
		return new Available(nowMs);
	}

	/**
	 * Returns the state after a call for changes that failed. The store may end a waiting
	 * call at any time, so this alone is no outage.
	 * @return the state
	 */
	default StoreState afterFailedWait() {
		return switch (this) {
			case Available available -> new Unconfirmed(available.answeredAtMs());
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
			case Away away -> new Away(away.answeredAtMs(), Math.min(MAX_RETRY_MS, away.retryMs() * 2));
			case Available available -> new Away(available.answeredAtMs(), FIRST_RETRY_MS);
			case Unconfirmed unconfirmed -> new Away(unconfirmed.answeredAtMs(), FIRST_RETRY_MS);
		};
	}

	/**
	 * The store has answered the last call.
	 *
	 * @param answeredAtMs time of the last answer on the monotonic clock
	 */
	record Available(long answeredAtMs) implements StoreState {
	}

	/**
	 * A call for changes has failed, and the store's version has not been read since.
	 *
	 * @param answeredAtMs time of the last answer on the monotonic clock
	 */
	record Unconfirmed(long answeredAtMs) implements StoreState {
	}

	/**
	 * The store cannot be read. With a valid copy only the version is read again, so that
	 * an outage costs the calls of one thread.
	 *
	 * @param answeredAtMs time of the last answer on the monotonic clock
	 * @param retryMs delay before the version is read again
	 */
	record Away(long answeredAtMs, long retryMs) implements StoreState {
	}

}
