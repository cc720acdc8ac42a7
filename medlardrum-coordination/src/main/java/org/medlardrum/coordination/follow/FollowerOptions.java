package org.medlardrum.coordination.follow;

import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Settings of {@link StoreFollower}.
 *
 * @param waitMs longest wait of one call for changes
 * @param batchDelayMs supplies the time between a response with changes and the next
 * call, so that a burst of changes needs few calls
 * @param confirmations times of the confirmations
 * @param catchUpMs time that the call for changes has to deliver a change that a
 * confirmation has detected; after it, the change is read over a new connection
 * @param expiryOutageMs shortest outage of the store in which the entry of an owner that
 * is alive can expire; after a shorter one no removal is held back
 * @param holdRemovalsMs time after the store is available again during which removals are
 * held back, so that owners can renew entries whose leases have expired
 */
public record FollowerOptions(long waitMs, LongSupplier batchDelayMs, ConfirmationSchedule confirmations,
		long catchUpMs, long expiryOutageMs, long holdRemovalsMs) {

	public FollowerOptions {
		Objects.requireNonNull(batchDelayMs, "batchDelayMs");
		Objects.requireNonNull(confirmations, "confirmations");
	}

	/**
	 * Creates settings with a constant batch delay, in which entries can expire in any
	 * outage.
	 * @param waitMs longest wait of one call for changes
	 * @param batchDelayMs time between a response with changes and the next call
	 * @param confirmMs longest time without a confirmation
	 * @param catchUpMs time that the call for changes has to deliver a change
	 * @param holdRemovalsMs time during which removals are held back
	 */
	public FollowerOptions(long waitMs, long batchDelayMs, long confirmMs, long catchUpMs, long holdRemovalsMs) {
		this(waitMs, () -> batchDelayMs, ConfirmationSchedule.every(confirmMs), catchUpMs, 0, holdRemovalsMs);
	}

}
