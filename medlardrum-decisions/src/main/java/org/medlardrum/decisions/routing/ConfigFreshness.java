package org.medlardrum.decisions.routing;

/**
 * Decides whether the active configuration is recent enough for requests that need an API
 * key. A host that does not confirm its configuration in time could accept a revoked key.
 *
 * <p>
 * The monotonic clock stops while the host is suspended, and the wall clock may jump. The
 * age is therefore the larger of both differences: the wall clock includes a suspension,
 * and its forward jumps only end the freshness early.
 */
public final class ConfigFreshness {

	private final long maxAgeMs;

	private volatile Confirmation last;

	/**
	 * Creates an instance without a confirmation.
	 * @param maxAgeMs longest time since a confirmation, in milliseconds
	 */
	public ConfigFreshness(long maxAgeMs) {
		if (maxAgeMs < 1) {
			throw new IllegalArgumentException("Maximum age of " + maxAgeMs + " ms must be at least 1 ms");
		}
		this.maxAgeMs = maxAgeMs;
	}

	/**
	 * Records that the active configuration was confirmed as the newest one.
	 * @param monotonicMs time of the confirmation on the monotonic clock
	 * @param wallMs time of the confirmation on the wall clock
	 */
	public void recordConfirmation(long monotonicMs, long wallMs) {
		Confirmation previous = this.last;
		if (previous == null || monotonicMs >= previous.monotonicMs) {
			this.last = new Confirmation(monotonicMs, wallMs);
		}
	}

	/**
	 * Returns the age of the last confirmation.
	 * @param monotonicMs current time on the monotonic clock
	 * @param wallMs current time on the wall clock
	 * @return the age in milliseconds, {@link Long#MAX_VALUE} without a confirmation
	 */
	public long ageMs(long monotonicMs, long wallMs) {
		Confirmation confirmation = this.last;
		return (confirmation != null) ? Math.max(monotonicMs - confirmation.monotonicMs, wallMs - confirmation.wallMs)
				: Long.MAX_VALUE;
	}

	/**
	 * Returns whether the configuration may be used.
	 * @param monotonicMs current time on the monotonic clock
	 * @param wallMs current time on the wall clock
	 * @return {@code true} if the last confirmation is at most the maximum age old
	 */
	public boolean isFresh(long monotonicMs, long wallMs) {
		return ageMs(monotonicMs, wallMs) <= this.maxAgeMs;
	}

	private record Confirmation(long monotonicMs, long wallMs) {
	}

}
