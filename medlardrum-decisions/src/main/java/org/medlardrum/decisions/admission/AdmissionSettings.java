package org.medlardrum.decisions.admission;

/**
 * Limits of the admission decisions of one service at one host.
 *
 * @param maxWaiting largest number of waiting requests
 * @param maxWaitingPerOrganisation largest number of waiting requests of one organisation
 * @param floorShare share of started work that is kept for each rank that waits
 * @param shareWindowMs time constant over which the started work of an organisation
 * decays
 * @param maxRetryAfterMs longest time after which a caller is asked to return: a third of
 * the time limit of a request, because callers cap {@code Retry-After} at a third of
 * their remaining time. A caller for whom no capacity is expected within three times this
 * time is not asked to return
 */
public record AdmissionSettings(int maxWaiting, int maxWaitingPerOrganisation, double floorShare, long shareWindowMs,
		long maxRetryAfterMs) {

	/**
	 * Checks the values.
	 */
	public AdmissionSettings {
		if (maxWaiting < 1 || maxWaitingPerOrganisation < 1) {
			throw new IllegalArgumentException("the waitlist must hold at least one request");
		}
		if (!(floorShare >= 0 && floorShare < 1)) {
			throw new IllegalArgumentException("floorShare is outside [0, 1): " + floorShare);
		}
		if (shareWindowMs < 1 || maxRetryAfterMs < 0) {
			throw new IllegalArgumentException("times must be positive");
		}
	}

	/**
	 * Returns the limits for a service whose routes have the given time limit.
	 * @param timeoutMs time limit of a request, in milliseconds
	 * @return the limits
	 */
	public static AdmissionSettings forTimeout(long timeoutMs) {
		return new AdmissionSettings(256, 64, 0.05, 10_000, timeoutMs / 3);
	}

}
