package org.medlardrum.decisions.pool;

/**
 * Detects stalls of one attempt: gaps between events that are unusually long. When an
 * engine in the middle of a chain fails, the chain reports the failure later than the
 * target for a gap, so the stream must fail over before the report. During overload all
 * gaps grow, and a stream whose typical gaps are near the target cannot be distinguished
 * from a stalled one; its failover would slow down other streams. Other requests detect
 * failed engines as well, so the threshold is lower while an engine of the chain is
 * suspect.
 *
 * <pre>
 * StreamStallDetector detector = new StreamStallDetector(nowMs, 500, 200);
 * detector.recordEvent(nowMs);
 * long stalledAtMs = nowMs + detector.stallThresholdMs();
 * </pre>
 */
public final class StreamStallDetector {

	/** Gap after which a chain is probed for its state; reports lag by 200 ms. */
	public static final long PROBE_AFTER_MS = 250;

	/**
	 * Fraction of the target for the first event after which an attempt without events
	 * counts as stalled. The remainder is for the first event on another chain, which
	 * takes 65 ms on the users' engines.
	 */
	private static final double FIRST_EVENT_TARGET_FRACTION = 0.55;

	/**
	 * Lower bound of the stall threshold, as a fraction of the target for a gap. The
	 * remainder is for the first event on another chain, so that the whole gap stays
	 * within the target.
	 */
	private static final double GAP_TARGET_FRACTION = 0.45;

	/**
	 * Fraction of the target for a gap after which a stream counts as stalled while it
	 * has too few events for a mean gap.
	 */
	private static final double GAP_TARGET_FRACTION_WITHOUT_MEAN = 0.75;

	/**
	 * Fraction of the target for the first event after which an attempt without events
	 * counts as stalled while an engine of its chain is suspect. The first event usually
	 * takes an eighth of the target.
	 */
	private static final double FIRST_EVENT_TARGET_FRACTION_SUSPECT = 0.25;

	/** Stall threshold relative to the stream's mean gap. */
	private static final double MEAN_GAP_FACTOR = 2.5;

	/**
	 * Stall threshold relative to the stream's mean gap while an engine of the chain is
	 * suspect. It is lower because the suspicion and the gap confirm each other.
	 */
	private static final double MEAN_GAP_FACTOR_SUSPECT = 1.5;

	/** Minimum stall threshold, several times the jitter of the users' networks. */
	private static final long MIN_STALL_THRESHOLD_MS = 50;

	/** Number of events from which the mean gap of a stream is used. */
	private static final int MIN_EVENTS_FOR_MEAN = 4;

	/** Interval between checks for a suspicion, a tenth of the users' gap target. */
	private static final long SUSPECT_CHECK_INTERVAL_MS = 20;

	private final long firstTargetMs;

	private final long gapTargetMs;

	private long firstEventMs;

	private long lastEventMs;

	private int events;

	/**
	 * Creates a detector for one attempt.
	 * @param startMs current time at the start of the attempt, on any monotonic clock
	 * @param firstTargetMs target for the time to the first event
	 * @param gapTargetMs target for the gap between events, 0 for none
	 */
	public StreamStallDetector(long startMs, long firstTargetMs, long gapTargetMs) {
		this.firstTargetMs = firstTargetMs;
		this.gapTargetMs = gapTargetMs;
		this.lastEventMs = startMs;
	}

	/**
	 * Measures the gap before the first event from a later time.
	 * @param nowMs current time on the same clock
	 */
	public void restart(long nowMs) {
		if (this.events == 0) {
			this.lastEventMs = nowMs;
		}
	}

	/**
	 * Records an event.
	 * @param nowMs current time on the same clock
	 */
	public void recordEvent(long nowMs) {
		if (this.events++ == 0) {
			this.firstEventMs = nowMs;
		}
		this.lastEventMs = nowMs;
	}

	/**
	 * Returns the length of the current gap.
	 * @param nowMs current time on the same clock
	 * @return the time since the last event or the start, in milliseconds
	 */
	public long currentGapMs(long nowMs) {
		return nowMs - this.lastEventMs;
	}

	/**
	 * Returns whether the attempt has received an event.
	 * @return {@code true} after the first event
	 */
	public boolean hasBegun() {
		return this.events > 0;
	}

	/**
	 * Returns the length of a gap from which the stream counts as stalled.
	 * @return the stall threshold, in milliseconds
	 */
	public long stallThresholdMs() {
		if (this.events == 0) {
			return (long) (this.firstTargetMs * FIRST_EVENT_TARGET_FRACTION);
		}
		if (this.gapTargetMs <= 0) {
			return PROBE_AFTER_MS;
		}
		if (this.events < MIN_EVENTS_FOR_MEAN) {
			return Math.min(PROBE_AFTER_MS, (long) (this.gapTargetMs * GAP_TARGET_FRACTION_WITHOUT_MEAN));
		}
		long targetMs = (long) (this.gapTargetMs * GAP_TARGET_FRACTION);
		return Math.min(PROBE_AFTER_MS, Math.max(targetMs, (long) (meanGapMs() * MEAN_GAP_FACTOR)));
	}

	/**
	 * Returns the stall threshold while an engine of the chain is suspect.
	 * @return the threshold in milliseconds, at most that of {@link #stallThresholdMs()}
	 */
	public long suspectStallThresholdMs() {
		if (this.events == 0) {
			return (long) (this.firstTargetMs * FIRST_EVENT_TARGET_FRACTION_SUSPECT);
		}
		if (this.events < MIN_EVENTS_FOR_MEAN || this.gapTargetMs <= 0) {
			return stallThresholdMs();
		}
		return Math.min(stallThresholdMs(),
				Math.max(MIN_STALL_THRESHOLD_MS, (long) (meanGapMs() * MEAN_GAP_FACTOR_SUSPECT)));
	}

	/**
	 * Returns the length of a gap up to which another attempt would be wasted on a sound
	 * stream, if no report can tell what the stream waits for. Unlike the stall
	 * threshold, it is not limited by the time after which a chain is probed.
	 * @return the length in milliseconds, 0 before the first event
	 */
	public long usualGapMs() {
		if (this.events == 0) {
			return 0;
		}
		long withoutMeanMs = (this.gapTargetMs > 0) ? (long) (this.gapTargetMs * GAP_TARGET_FRACTION_WITHOUT_MEAN)
				: (long) (this.firstTargetMs * FIRST_EVENT_TARGET_FRACTION);
		return (this.events < MIN_EVENTS_FOR_MEAN) ? withoutMeanMs
				: Math.max((long) (this.gapTargetMs * GAP_TARGET_FRACTION), (long) (meanGapMs() * MEAN_GAP_FACTOR));
	}

	/**
	 * Returns the time until the next check of a gap below the stall threshold. From
	 * {@link #suspectStallThresholdMs()} on, a new suspicion can end the wait at any
	 * time.
	 * @param gapMs length of the gap so far, in milliseconds
	 * @return time until the next check, in milliseconds, at least 1
	 */
	public long nextCheckMs(long gapMs) {
		return Math.max(1, Math.min(SUSPECT_CHECK_INTERVAL_MS, stallThresholdMs() - gapMs));
	}

	private double meanGapMs() {
		return (double) (this.lastEventMs - this.firstEventMs) / (this.events - 1);
	}

}
