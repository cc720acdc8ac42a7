package org.medlardrum.coordination.orders;

/**
 * Settings of {@link OrderIssuer}.
 *
 * @param leaseTtlMs time to live of the lease
 * @param orderTimeoutMs longest duration of one order
 * @param marginMs time by which an order must be over before the lease ends; covers
 * pauses and differences between clock rates
 * @param reconcileMs time between two comparisons of all engines
 * @param settleMs time for an engine to reach the ordered state before it is ordered
 * again
 * @param candidates hosts that compete for the lease, so that 420 hosts do not all read
 * its key
 */
public record OrderOptions(long leaseTtlMs, long orderTimeoutMs, long marginMs, long reconcileMs, long settleMs,
		int candidates) {

	/** Default settings. */
	public static final OrderOptions DEFAULT = new OrderOptions(15_000, 3_000, 2_000, 10_000, 60_000, 3);

	public OrderOptions {
		// With a shorter lease the guard would hold back every order.
		leaseTtlMs = Math.max(leaseTtlMs, 2 * (orderTimeoutMs + marginMs));
	}

}
