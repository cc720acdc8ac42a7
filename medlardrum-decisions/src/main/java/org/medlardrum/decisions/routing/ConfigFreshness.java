package org.medlardrum.decisions.routing;

/**
 * Tells whether the configuration in force may still be used for requests that need an
 * API key. A host that cannot confirm it in time could serve a revoked key.
 *
 * <p>
 * The steady clock does not count a suspension of the host, and the time of day may jump.
 * The age is therefore the larger of both differences: a suspension shows in the time of
 * day, and a jump only ends the freshness early.
 */
public final class ConfigFreshness {

	private final long maxAgeMs;

	private volatile Confirmation last;

	/**
	 * Creates a state in which nothing is confirmed.
	 * @param maxAgeMs longest time since a confirmation, in milliseconds
	 */
	public ConfigFreshness(long maxAgeMs) {
		if (maxAgeMs < 1) {
			throw new IllegalArgumentException("Longest age of " + maxAgeMs + " ms is not positive");
		}
		this.maxAgeMs = maxAgeMs;
	}

	/**
	 * Records that the configuration in force was the newest one.
	 * @param steadyMs reading of the steady clock at that time
	 * @param wallMs time of day at that time
	 */
	public void confirmed(long steadyMs, long wallMs) {
		Confirmation previous = this.last;
		if (previous == null || steadyMs >= previous.steadyMs) {
			this.last = new Confirmation(steadyMs, wallMs);
		}
	}

	/**
	 * Returns the age of the last confirmation.
	 * @param steadyMs reading of the steady clock
	 * @param wallMs time of day
	 * @return the age in milliseconds, the largest value if nothing was confirmed
	 */
	public long ageMs(long steadyMs, long wallMs) {
		Confirmation confirmation = this.last;
		return (confirmation != null) ? Math.max(steadyMs - confirmation.steadyMs, wallMs - confirmation.wallMs)
				: Long.MAX_VALUE;
	}

	/**
	 * Returns whether the configuration may be used.
	 * @param steadyMs reading of the steady clock
	 * @param wallMs time of day
	 * @return {@code true} if it was confirmed in time
	 */
	public boolean isFresh(long steadyMs, long wallMs) {
		return ageMs(steadyMs, wallMs) <= this.maxAgeMs;
	}

	private record Confirmation(long steadyMs, long wallMs) {
	}

}
