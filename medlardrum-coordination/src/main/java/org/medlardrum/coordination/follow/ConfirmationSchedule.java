package org.medlardrum.coordination.follow;

/**
 * Times between the confirmations of a copy, derived from the bound within which a change
 * of the store has to take effect.
 *
 * <p>
 * The call that waits for changes may hang on an unresponsive connection, so the bound
 * has to hold with the confirmations alone. A copy is known to be current as of the time
 * at which the store was read, by this host or by another one. The next confirmation is
 * due {@code maxUnconfirmedMs} after that time, so the age of another host's read
 * shortens the interval instead of adding to the delay of a change.
 *
 * <pre>
 * ConfirmationSchedule.within(2_000, 150); // maxUnconfirmedMs=900, maxReadAgeMs=675
 * </pre>
 *
 * @param maxUnconfirmedMs longest time in milliseconds from the read of the store that
 * confirmed the copy to the next confirmation
 * @param maxReadAgeMs age in milliseconds up to which a read of the store answers other
 * hosts; the rest of {@code maxUnconfirmedMs} is the shortest interval of their questions
 */
public record ConfirmationSchedule(long maxUnconfirmedMs, long maxReadAgeMs) {

	/**
	 * Calls of the store after a confirmation has come due: a read of its version if no
	 * other host answers, the time for the waiting call to deliver the change, and a call
	 * for the change over a new connection.
	 */
	static final int CALLS_AFTER_DUE = 3;

	/**
	 * Part of the bound that is left for the host itself, whose timers fire late under
	 * load.
	 */
	static final long HOST_DELAY_MS = 500;

	/**
	 * Longest interval, also with generous bounds. With a revocation bound of 5 s, a host
	 * that loses the store serves requests with an API key for another 2.9 s.
	 */
	private static final long MAX_UNCONFIRMED_MS = 1_800;

	/** Shortest interval, with bounds that the confirmations alone cannot keep. */
	private static final long MIN_UNCONFIRMED_MS = 300;

	private static final double READ_AGE_FRACTION = 0.75;

	public ConfirmationSchedule {
		if (maxReadAgeMs < 0 || maxReadAgeMs >= maxUnconfirmedMs) {
			throw new IllegalArgumentException(
					"Read age " + maxReadAgeMs + " ms must be shorter than the interval " + maxUnconfirmedMs + " ms");
		}
	}

	/**
	 * Creates the schedule with the longest intervals that keep the bound.
	 * @param applyMs bound of a change in milliseconds, from the store's acknowledgement
	 * until it is in force
	 * @param callMs longest time in milliseconds of a call on a working connection
	 * @return the schedule
	 */
	public static ConfirmationSchedule within(long applyMs, long callMs) {
		long afterDueMs = PeerConfirmations.ANSWER_TIMEOUT_MS + CALLS_AFTER_DUE * callMs + HOST_DELAY_MS;
		return every(Math.clamp(applyMs - afterDueMs, MIN_UNCONFIRMED_MS, MAX_UNCONFIRMED_MS));
	}

	/**
	 * Creates a schedule with a given interval.
	 * @param maxUnconfirmedMs longest time without a confirmation in milliseconds
	 * @return the schedule
	 */
	public static ConfirmationSchedule every(long maxUnconfirmedMs) {
		return new ConfirmationSchedule(maxUnconfirmedMs, (long) (maxUnconfirmedMs * READ_AGE_FRACTION));
	}

}
