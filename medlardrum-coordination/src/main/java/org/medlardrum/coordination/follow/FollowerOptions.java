package org.medlardrum.coordination.follow;

import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Settings of {@link StoreFollower}.
 *
 * @param waitMs longest wait of one call for changes
 * @param batchDelayMs supplies the time between a response with changes and the next
 * call, so that a burst of changes needs few calls
 * @param confirmMs time between two confirmations
 * @param catchUpMs time that the call for changes has to deliver a change that a
 * confirmation has detected; after it, all keys are read
 * @param holdRemovalsMs time after the store is available again during which removals are
 * held back, so that owners can renew entries whose leases have expired
 */
public record FollowerOptions(long waitMs, LongSupplier batchDelayMs, long confirmMs, long catchUpMs,
		long holdRemovalsMs) {

	public FollowerOptions {
		Objects.requireNonNull(batchDelayMs, "batchDelayMs");
	}

	/**
	 * Creates settings with a constant batch delay.
	 * @param waitMs longest wait of one call for changes
	 * @param batchDelayMs time between a response with changes and the next call
	 * @param confirmMs time between two confirmations
	 * @param catchUpMs time that the call for changes has to deliver a change
	 * @param holdRemovalsMs time during which removals are held back
	 */
	public FollowerOptions(long waitMs, long batchDelayMs, long confirmMs, long catchUpMs, long holdRemovalsMs) {
		this(waitMs, () -> batchDelayMs, confirmMs, catchUpMs, holdRemovalsMs);
	}

}
