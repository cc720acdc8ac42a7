package org.medlardrum.decisions.admission;

import java.util.OptionalLong;

/**
 * Computes when a refused caller should return: when capacity is expected for its rank,
 * behind the callers that were told to return earlier. Successive callers receive
 * successive times, so that they return at the rate at which capacity becomes free. The
 * times are deterministic.
 */
public final class ReturnTime {

	/**
	 * Value of a {@code retryAfterMs} when a retry is not expected to help. The response
	 * then has no {@code Retry-After}.
	 */
	public static final long NO_RETRY = -1;

	ReturnTime(AdmissionSettings settings) {
	}

	/**
	 * Limits a retry time to what the caller can use. Callers cap a {@code Retry-After}
	 * at a third of their remaining time, so a caller that is told a longer time returns
	 * too early and is refused again.
	 * @param retryAfterMs time from {@link AdmissionOutcome.Refuse} or {@link Displaced}
	 * @param callerRemainingMs time that the caller has left, in milliseconds
	 * @return the time to send as {@code Retry-After}, empty if none is to be sent
	 */
	public static OptionalLong retryAfterMs(long retryAfterMs, long callerRemainingMs) {
		throw new UnsupportedOperationException();
	}

	long reserve(int rank, double work, long nowMs) {
		throw new UnsupportedOperationException();
	}

}
