package org.medlardrum.decisions.pool;

/**
 * Decides when a stream is silent for unusually long. It answers the loss of an engine in
 * the middle of a chain, which the chain reports later than the longest pause that is on
 * time: such a stream must go on elsewhere before. In an overload all pauses grow, and a
 * stream whose usual pauses are near the target cannot be told from a stalled one; moving
 * it would slow down the others. Other requests notice the loss too: a chain with an
 * engine that they found faulty is left sooner.
 *
 * <pre>
 * StreamPauses pauses = new StreamPauses(nowMs, 500, 200);
 * pauses.event(nowMs);
 * long dueAtMs = nowMs + pauses.unusualMs();
 * </pre>
 */
public final class StreamStallDetector {

	/** Silence after which a chain is asked for its state; reports lag 200 ms. */
	public static final long PROBE_AFTER_MS = 250;

	/**
	 * Part of the target for the first event after which a silent stream is unusual. The
	 * rest is for the first event elsewhere, which takes 65 ms on the users' engines.
	 */
	private static final double PART_OF_FIRST_TARGET = 0.55;

	/**
	 * Part of the target for a pause after which a silent stream is unusual; with the
	 * first event elsewhere the pause is within the target.
	 */
	private static final double PART_OF_TARGET = 0.45;

	/**
	 * Part of the target after which a stream is unusual whose mean pause is not known.
	 */
	private static final double PART_OF_TARGET_UNKNOWN = 0.75;

	/**
	 * Part of the target for the first event after which a silent stream is unusual when
	 * an engine of its chain is suspect; the usual first event takes an eighth.
	 */
	private static final double PART_OF_TARGET_SUSPECT = 0.25;

	/** Silence that is unusual, relative to the stream's mean pause. */
	private static final double UNUSUAL_PAUSES = 2.5;

	/**
	 * Silence that is unusual when an engine of the chain is suspect, relative to the
	 * stream's mean pause. Two signs together need less of each.
	 */
	private static final double UNUSUAL_PAUSES_SUSPECT = 1.5;

	/** Shortest unusual silence, several times the jitter of the users' networks. */
	private static final long MIN_UNUSUAL_MS = 50;

	/** Events after which the mean pause of a stream is known. */
	private static final int KNOWN_EVENTS = 4;

	/** Time between two looks for a suspicion, a tenth of the users' target. */
	private static final long SUSPECT_LOOK_MS = 20;

	private final long firstTargetMs;

	private final long gapTargetMs;

	private long firstMs;

	private long lastMs;

	private int events;

	/**
	 * Creates the pauses of one attempt.
	 * @param startMs clock reading at its start
	 * @param firstTargetMs time within which the first event is on time
	 * @param gapTargetMs longest pause that is on time, 0 for none
	 */
	public StreamStallDetector(long startMs, long firstTargetMs, long gapTargetMs) {
		this.firstTargetMs = firstTargetMs;
		this.gapTargetMs = gapTargetMs;
		this.lastMs = startMs;
	}

	/**
	 * Records an event.
	 * @param nowMs clock reading
	 */
	public void recordEvent(long nowMs) {
		if (this.events++ == 0) {
			this.firstMs = nowMs;
		}
		this.lastMs = nowMs;
	}

	/**
	 * Returns the length of the present silence.
	 * @param nowMs clock reading
	 * @return the time since the last event or the start, in milliseconds
	 */
	public long currentGapMs(long nowMs) {
		return nowMs - this.lastMs;
	}

	/**
	 * Returns whether the attempt has brought an event.
	 * @return {@code true} after the first event
	 */
	public boolean hasBegun() {
		return this.events > 0;
	}

	/**
	 * Returns the silence that is unusual.
	 * @return the length in milliseconds
	 */
	public long stallThresholdMs() {
		if (this.events == 0) {
			return (long) (this.firstTargetMs * PART_OF_FIRST_TARGET);
		}
		if (this.gapTargetMs <= 0) {
			return PROBE_AFTER_MS;
		}
		if (this.events < KNOWN_EVENTS) {
			return Math.min(PROBE_AFTER_MS, (long) (this.gapTargetMs * PART_OF_TARGET_UNKNOWN));
		}
		long targetMs = (long) (this.gapTargetMs * PART_OF_TARGET);
		return Math.min(PROBE_AFTER_MS, Math.max(targetMs, (long) (meanPauseMs() * UNUSUAL_PAUSES)));
	}

	/**
	 * Returns the silence that is unusual when an engine of the chain is suspect.
	 * @return the length in milliseconds, at most that of {@link #stallThresholdMs()}
	 */
	public long suspectStallThresholdMs() {
		if (this.events == 0) {
			return (long) (this.firstTargetMs * PART_OF_TARGET_SUSPECT);
		}
		if (this.events < KNOWN_EVENTS || this.gapTargetMs <= 0) {
			return stallThresholdMs();
		}
		return Math.min(stallThresholdMs(), Math.max(MIN_UNUSUAL_MS, (long) (meanPauseMs() * UNUSUAL_PAUSES_SUSPECT)));
	}

	/**
	 * Returns when to look again at a silence that is not unusual yet. A suspicion may
	 * come at any time after {@link #suspectStallThresholdMs()}.
	 * @param silentMs length of the silence so far, in milliseconds
	 * @return time until the next look, in milliseconds, at least 1
	 */
	public long nextCheckMs(long silentMs) {
		return Math.max(1, Math.min(SUSPECT_LOOK_MS, stallThresholdMs() - silentMs));
	}

	private double meanPauseMs() {
		return (double) (this.lastMs - this.firstMs) / (this.events - 1);
	}

}
