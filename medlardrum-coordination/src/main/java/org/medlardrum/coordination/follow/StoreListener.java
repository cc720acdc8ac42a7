package org.medlardrum.coordination.follow;

import java.util.Map;

import org.medlardrum.coordination.StoreVersion;

/**
 * Receives the keys, the confirmations and the availability of the store from a
 * {@link StoreFollower}. Called on the follower's threads.
 */
public interface StoreListener {

	/**
	 * Called after the copy of the store's keys has changed.
	 * @param values all values by key
	 */
	void changed(Map<String, String> values);

	/**
	 * Called when the values passed so far were the newest state of the store at the
	 * given time.
	 * @param monotonicMs that time on the monotonic clock
	 * @param wallMs that time on the wall clock
	 */
	void confirmed(long monotonicMs, long wallMs);

	/**
	 * Called when a call for changes has failed after calls that were answered. Whether
	 * the store is unavailable is not known yet.
	 * @param reason short technical reason
	 */
	void callFailed(String reason);

	/**
	 * Called when the waiting call for changes has not delivered a change that a later
	 * call on a new connection has returned, so that its connection is unresponsive.
	 * @param before version of the copy without the change
	 * @param newest version of the store that a confirmation has found
	 */
	void watchStalled(StoreVersion before, StoreVersion newest);

	/**
	 * Called when the store becomes unavailable: its version or its keys cannot be read.
	 * @param reason short technical reason
	 */
	void storeUnavailable(String reason);

	/**
	 * Called when the copy belongs to another history of the store than before, because
	 * the store was restored from an older copy, and for the first copy.
	 * @param before version of the copy in the earlier history, {@code null} for the
	 * first copy
	 * @param after version of the copy in the new history
	 */
	void eraChanged(StoreVersion before, StoreVersion after);

	/**
	 * Called when the store is available again.
	 * @param outageMs time since it last accepted a call of this host or another one
	 * @param heldMs time for which removals are held back, 0 if they take effect at once
	 */
	void storeAvailable(long outageMs, long heldMs);

}
