package org.medlardrum.coordination.orders;

/**
 * State and counters of an {@link OrderIssuer}.
 *
 * @param holder whether the own host holds the lease
 * @param fencingToken token of the lease, 0 when not held
 * @param sent orders sent
 * @param fenced orders refused because of an outdated fencing token
 * @param guarded orders held back because the lease expires too soon or is too new
 * @param limited orders held back by the rate limit of the weight store
 */
public record OrderStats(boolean holder, long fencingToken, long sent, long fenced, long guarded, long limited) {
}
