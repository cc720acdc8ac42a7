package org.medlardrum.coordination.orders;

/**
 * Settings of {@link OrderIssuer} and {@link PlacementIssuer}.
 *
 * @param leaseTtlMs time to live of the lease
 * @param orderTimeoutMs longest duration of one call to an engine
 * @param marginMs time between the timeout of an order and the end of the lease; covers
 * process pauses and differences between clock rates
 * @param reconcileMs time between two passes over all engines
 * @param settleMs time for an engine to reach the ordered state before another order is
 * sent
 * @param candidates number of hosts that compete for the lease, so that not all of 420
 * hosts read its key
 */
public record OrderOptions(long leaseTtlMs, long orderTimeoutMs, long marginMs, long reconcileMs, long settleMs,
		int candidates) {

	/** Default settings. */
	public static final OrderOptions DEFAULT = new OrderOptions(15_000, 3_000, 2_000, 10_000, 60_000, 3);

	public OrderOptions {
		// With a shorter lease, OrderLease.maySend would hold back every order.
		leaseTtlMs = Math.max(leaseTtlMs, 2 * (orderTimeoutMs + marginMs));
	}

}
