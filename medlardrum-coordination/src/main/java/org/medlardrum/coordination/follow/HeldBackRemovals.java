package org.medlardrum.coordination.follow;

import java.util.HashSet;
import java.util.Set;

/**
 * Removals of keys that are held back after an outage of the store, so that the owners of
 * keys whose leases have expired can write them again. Times are those of the monotonic
 * clock. Not thread-safe.
 */
final class HeldBackRemovals {

	private final Set<String> keys = new HashSet<>();

	private long untilMs = Long.MIN_VALUE;

	/**
	 * Holds back the removals from now on, and those that are held back already.
	 * @param endMs time until which they are held back
	 */
	void holdUntil(long endMs) {
		this.untilMs = endMs;
	}

	/**
	 * Holds back a removal, unless the time for it is over.
	 * @param key the key
	 * @param nowMs current time
	 * @return {@code false} if the removal takes effect at once
	 */
	boolean hold(String key, long nowMs) {
		if (nowMs >= this.untilMs) {
			return false;
		}
		this.keys.add(key);
		return true;
	}

	/**
	 * Forgets the removal of a key that has been written again.
	 * @param key the key
	 */
	void cancel(String key) {
		this.keys.remove(key);
	}

	/**
	 * Returns when the removals that are held back are to take effect.
	 * @return the time, {@link Long#MAX_VALUE} if there are none
	 */
	long dueMs() {
		return (this.keys.isEmpty()) ? Long.MAX_VALUE : this.untilMs;
	}

	/**
	 * Returns the removals that take effect, which are no longer held back.
	 * @param currentAsOfMs time as of which no key is known to have been written again
	 * @return the keys, empty before their time
	 */
	Set<String> release(long currentAsOfMs) {
		if (currentAsOfMs < this.untilMs) {
			return Set.of();
		}
		Set<String> released = Set.copyOf(this.keys);
		this.keys.clear();
		return released;
	}

}
