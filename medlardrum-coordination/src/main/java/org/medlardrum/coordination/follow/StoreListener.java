package org.medlardrum.coordination.follow;

import java.util.Map;

/**
 * Receives what a {@link StoreFollower} knows. Called on the follower's thread.
 */
public interface StoreListener {

	/**
	 * Takes the keys after a change.
	 * @param values values by key
	 */
	void changed(Map<String, String> values);

	/**
	 * Records that everything told so far was the newest state of the store at a time.
	 * @param steadyMs reading of the steady clock at that time
	 * @param wallMs time of day at that time
	 */
	void confirmed(long steadyMs, long wallMs);

	/**
	 * The store does not answer.
	 * @param reason short technical reason
	 */
	void storeUnavailable(String reason);

	/**
	 * The store answers again.
	 * @param awayMs time since its last answer
	 */
	void storeAvailable(long awayMs);

}
